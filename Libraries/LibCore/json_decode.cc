#include "LibCore/json_decode.h"

#include <algorithm>
#include <cmath>

namespace kcm::core {

namespace {

/// A value with its place in a list, which is copied as it grows.
constexpr std::size_t kBytesPerValue = 48;
/// What the name of a member adds to its value.
constexpr std::size_t kBytesPerName = 96;
constexpr std::size_t kBytesPerObject = 64;
constexpr std::size_t kBytesPerList = 32;
constexpr std::size_t kBytesPerString = 48;
/// Longest part of a text of other origin that a message repeats.
constexpr std::size_t kMaxQuotedBytes = 100;

/// Checks a document against its limits without building it.
class LimitCheck : public nlohmann::json_sax<Json> {
 public:
  explicit LimitCheck(const DocumentLimits& limits) : limits_(limits) {}

  auto null() -> bool override { return Add(kBytesPerValue); }
  auto boolean(bool /*value*/) -> bool override { return Add(kBytesPerValue); }
  auto number_integer(std::int64_t /*value*/) -> bool override {
    return Add(kBytesPerValue);
  }
  auto number_unsigned(std::uint64_t /*value*/) -> bool override {
    return Add(kBytesPerValue);
  }
  auto number_float(double /*value*/, const std::string& /*text*/)
      -> bool override {
    return Add(kBytesPerValue);
  }
  auto string(std::string& value) -> bool override {
    return Add(kBytesPerValue + kBytesPerString + value.size());
  }
  auto binary(Json::binary_t& value) -> bool override {
    return Add(kBytesPerValue + kBytesPerString + value.size());
  }
  auto key(std::string& name) -> bool override {
    return Add(kBytesPerName + name.size());
  }
  auto start_object(std::size_t /*members*/) -> bool override {
    return ++depth_ <= limits_.nesting && Add(kBytesPerValue + kBytesPerObject);
  }
  auto start_array(std::size_t /*items*/) -> bool override {
    return ++depth_ <= limits_.nesting && Add(kBytesPerValue + kBytesPerList);
  }
  auto end_object() -> bool override { return EndLevel(); }
  auto end_array() -> bool override { return EndLevel(); }
  auto parse_error(std::size_t /*position*/,
                   const std::string& /*token*/,
                   const nlohmann::detail::exception& /*error*/)
      -> bool override {
    return false;
  }

 private:
  auto Add(std::size_t bytes) -> bool {
    bytes_ += bytes;
    return bytes_ <= limits_.bytes;
  }

  auto EndLevel() -> bool {
    --depth_;
    return true;
  }

  DocumentLimits limits_;
  int depth_ = 0;
  std::size_t bytes_ = 0;
};

/// @return whether a JSON text is within its limits. Other than LimitCheck it
///     needs no parse, which would double the cost of each text.
auto IsWithin(const DocumentLimits& limits, std::string_view text) -> bool {
  int depth = 0;
  auto bytes = text.size();
  auto in_string = false;
  for (std::size_t index = 0; index < text.size(); ++index) {
    const auto character = text[index];
    if (in_string) {
      index += character == '\\' ? 1 : 0;
      in_string = character != '"';
      continue;
    }
    switch (character) {
      case '"':
        in_string = true;
        bytes += kBytesPerString;
        break;
      case '[':
        ++depth;
        bytes += kBytesPerList;
        break;
      case '{':
        ++depth;
        bytes += kBytesPerObject;
        break;
      case ']':
      case '}':
        --depth;
        break;
      case ',':
        bytes += kBytesPerValue;
        break;
      case ':':
        bytes += kBytesPerName;
        break;
      default:
        break;
    }
    if (depth > limits.nesting) {
      return false;
    }
  }
  return bytes <= limits.bytes;
}

auto IsDeeperThan(const Json& document, int levels) -> bool {
  if (!document.is_structured()) {
    return false;
  }
  return levels == 0 ||
         std::any_of(document.begin(), document.end(), [&](const Json& item) {
           return IsDeeperThan(item, levels - 1);
         });
}

}  // namespace

auto ParseJson(std::string_view text, const DocumentLimits& limits) -> Json {
  return IsWithin(limits, text) ? Json::parse(text, nullptr, false)
                                : Json(Json::value_t::discarded);
}

auto ParseMessagePack(std::string_view bytes, const DocumentLimits& limits)
    -> Json {
  LimitCheck check(limits);
  return Json::sax_parse(bytes, &check, Json::input_format_t::msgpack)
             ? Json::from_msgpack(bytes, true, false)
             : Json(Json::value_t::discarded);
}

auto IsTooDeep(const Json& document) -> bool {
  return IsDeeperThan(document, kMaxNesting);
}

auto ToJsonText(const Json& document) -> std::string {
  return document.dump(-1, ' ', false, Json::error_handler_t::replace);
}

auto ToAsciiJsonText(const Json& document) -> std::string {
  return document.dump(-1, ' ', true, Json::error_handler_t::replace);
}

auto ReplaceInvalidUtf8(const std::string& text) -> std::string {
  return Json::parse(ToJsonText(text)).get<std::string>();
}

auto IsUtf8(const std::string& text) -> bool {
  const auto is_ascii = [](char character) {
    return static_cast<unsigned char>(character) < 0x80;
  };
  return std::all_of(text.begin(), text.end(), is_ascii) ||
         ReplaceInvalidUtf8(text) == text;
}

auto QuoteText(std::string_view text) -> std::string {
  return text.size() <= kMaxQuotedBytes
             ? ToJsonText(text)
             : ToJsonText(std::string(text.substr(0, kMaxQuotedBytes)) + "...");
}

auto DescribeValue(const Json& value) -> std::string {
  if (value.is_string()) {
    return QuoteText(value.get_ref<const std::string&>());
  }
  if (value.is_array()) {
    return "a list of " + std::to_string(value.size());
  }
  if (value.is_object()) {
    return "an object of " + std::to_string(value.size());
  }
  return ToJsonText(value);
}

auto ToWholeNumber(const Json& value, std::int64_t maximum)
    -> std::optional<std::int64_t> {
  const auto number = ToNumber(value, static_cast<double>(maximum));
  if (!number || std::trunc(*number) != *number) {
    return std::nullopt;
  }
  // Up to kMaxNumber a double holds each whole number.
  return static_cast<std::int64_t>(*number);
}

auto ToNumber(const Json& value, double maximum) -> std::optional<double> {
  if (!value.is_number()) {
    return std::nullopt;
  }
  const auto number = value.get<double>();
  // Also false for what is no number.
  return number >= 0 && number <= maximum ? std::optional(number)
                                          : std::nullopt;
}

auto HasOnlyNumbersInRange(const Json& document) -> bool {
  if (document.is_structured()) {
    return std::all_of(document.begin(), document.end(), HasOnlyNumbersInRange);
  }
  return !document.is_number() ||
         ToNumber(document, static_cast<double>(kMaxNumber)).has_value();
}

}  // namespace kcm::core
