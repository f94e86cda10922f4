#include "LibCore/member_reader.h"

#include <utility>

namespace kcm::core {

namespace {

auto ToText(const Json& value) -> std::optional<std::string> {
  return value.is_string() ? std::optional(value.get<std::string>())
                           : std::nullopt;
}

template <typename Item, typename Decode>
auto ToList(const Json& value, Decode decode)
    -> std::optional<std::vector<Item>> {
  if (!value.is_array()) {
    return std::nullopt;
  }
  std::vector<Item> items;
  items.reserve(value.size());
  for (const auto& element : value) {
    auto item = decode(element);
    if (!item) {
      return std::nullopt;
    }
    items.push_back(std::move(*item));
  }
  return items;
}

}  // namespace

MemberReader::MemberReader(const Json& document) : document_(document) {
  if (!document.is_object()) {
    RecordInvalid("object");
  }
}

auto MemberReader::Require(std::initializer_list<const char*> names) -> void {
  for (const auto* name : names) {
    if (Find(name) == nullptr) {
      RecordInvalid(name);
    }
  }
}

auto MemberReader::Read(const char* name, std::string& target) -> void {
  Store(name, target, ToText);
}

auto MemberReader::Read(const char* name, bool& target) -> void {
  Store(name, target, [](const Json& value) {
    return value.is_boolean() ? std::optional(value.get<bool>()) : std::nullopt;
  });
}

auto MemberReader::Read(const char* name,
                        std::int64_t& target,
                        std::int64_t maximum) -> void {
  Store(name, target,
        [&](const Json& value) { return ToWholeNumber(value, maximum); });
}

auto MemberReader::Read(const char* name, std::vector<std::string>& target)
    -> void {
  Store(name, target,
        [](const Json& value) { return ToList<std::string>(value, ToText); });
}

auto MemberReader::Read(const char* name, std::vector<std::int64_t>& target)
    -> void {
  Store(name, target, [](const Json& value) {
    return ToList<std::int64_t>(value, [](const Json& element) {
      return ToWholeNumber(element, kMaxAmount);
    });
  });
}

auto MemberReader::ReadNumber(const char* name, double& target, double maximum)
    -> void {
  Store(name, target,
        [&](const Json& value) { return ToNumber(value, maximum); });
}

auto MemberReader::ReadDuration(const char* name, Millis& target) -> void {
  Store(name, target, [](const Json& value) {
    const auto number = ToNumber(value, static_cast<double>(kMaxDurationMs));
    return number ? std::optional(static_cast<Millis>(*number)) : std::nullopt;
  });
}

auto MemberReader::Find(const char* name) const -> const Json* {
  const auto found = document_.find(name);
  return found == document_.end() ? nullptr : &*found;
}

auto MemberReader::Check(const std::string& owner, Reason& reason) const
    -> bool {
  if (invalid_member_.empty()) {
    return true;
  }
  reason = {ErrorKind::kBadInput, invalid_member_,
            invalid_member_ + " in " + owner +
                " is missing, of a wrong type, negative or too large."};
  return false;
}

template <typename Value, typename Decode>
auto MemberReader::Store(const char* name, Value& target, Decode decode)
    -> void {
  const auto* value = Find(name);
  if (value == nullptr) {
    return;
  }
  if (auto decoded = decode(*value)) {
    target = std::move(*decoded);
  } else {
    RecordInvalid(name);
  }
}

auto MemberReader::RecordInvalid(const char* name) -> void {
  if (invalid_member_.empty()) {
    invalid_member_ = name;
  }
}

}  // namespace kcm::core
