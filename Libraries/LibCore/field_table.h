#pragma once

#include <algorithm>
#include <cstdint>
#include <limits>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <type_traits>
#include <variant>
#include <vector>

#include "LibCore/address.h"
#include "LibCore/json.h"
#include "LibCore/json_decode.h"
#include "LibCore/nearest.h"
#include "LibCore/reason.h"

namespace kcm::core {

/// Name, type and bounds of a member that is read from JSON.
template <typename T>
struct Field {
  std::string_view name;
  std::variant<std::string T::*,
               std::int64_t T::*,
               double T::*,
               bool T::*,
               Address T::*>
      member;
  bool required = false;
  /// Bounds of a number, or of the length of a string in bytes.
  double minimum = 0;
  double maximum = std::numeric_limits<double>::max();
  std::string_view description;
};

/// Formats a bound without trailing zeros.
auto FormatBound(double bound) -> std::string;

namespace detail {

auto StoreValue(const Json& value, std::string& target) -> bool;
auto StoreValue(const Json& value, std::int64_t& target) -> bool;
auto StoreValue(const Json& value, double& target) -> bool;
auto StoreValue(const Json& value, bool& target) -> bool;
auto StoreValue(const Json& value, Address& target) -> bool;
auto TypeNameOf(const std::string& value) -> std::string_view;
auto TypeNameOf(const std::int64_t& value) -> std::string_view;
auto TypeNameOf(const double& value) -> std::string_view;
auto TypeNameOf(const bool& value) -> std::string_view;
auto TypeNameOf(const Address& value) -> std::string_view;
auto SizeOf(const std::string& value) -> double;
auto SizeOf(const std::int64_t& value) -> double;
auto SizeOf(const double& value) -> double;
auto SizeOf(const bool& value) -> double;
auto SizeOf(const Address& value) -> double;

template <typename Value>
inline constexpr bool kHasBounds =
    !std::is_same_v<Value, bool> && !std::is_same_v<Value, Address>;

}  // namespace detail

/// Reads one member into `target`.
/// @return whether it is valid; otherwise `reason` names field and value, and
///     the member may have changed.
template <typename T>
[[nodiscard]] auto ReadField(const Field<T>& field,
                             const Json& value,
                             T& target,
                             Reason& reason) -> bool {
  return std::visit(
      [&](auto member) {
        auto& destination = target.*member;
        const auto stored = detail::StoreValue(value, destination);
        const auto size = detail::SizeOf(destination);
        if (stored && size >= field.minimum && size <= field.maximum) {
          return true;
        }
        auto allowed = std::string(detail::TypeNameOf(destination));
        if constexpr (detail::kHasBounds<std::decay_t<decltype(destination)>>) {
          allowed += " from " + FormatBound(field.minimum);
          if (field.maximum < std::numeric_limits<double>::max()) {
            allowed += " to " + FormatBound(field.maximum);
          }
          allowed +=
              std::is_same_v<std::decay_t<decltype(destination)>, std::string>
                  ? " characters"
                  : "";
        }
        reason = {ErrorKind::kBadInput, std::string(field.name),
                  std::string(field.name) + " is " + DescribeValue(value) +
                      "; allowed is " + allowed + "."};
        return false;
      },
      field.member);
}

/// Reads a struct from a document by its table of fields.
/// @param extra names of members that the caller reads itself.
/// @return the struct, or nothing with `reason` naming field, value and what
///     is allowed.
template <typename T>
[[nodiscard]] auto ReadFields(std::span<const Field<T>> fields,
                              const Json& document,
                              std::span<const std::string_view> extra,
                              Reason& reason) -> std::optional<T> {
  if (!document.is_object()) {
    return reason.Fail(ErrorKind::kBadInput, "",
                       "The document is not an object with named members.");
  }
  std::vector<std::string> known(extra.begin(), extra.end());
  for (const auto& field : fields) {
    known.emplace_back(field.name);
  }
  for (const auto& [name, value] : document.items()) {
    if (std::find(known.begin(), known.end(), name) == known.end()) {
      return reason.Fail(ErrorKind::kBadInput, QuoteText(name),
                         QuoteText(name) + " is not a known member." +
                             DidYouMean(name, known));
    }
  }
  T target{};
  for (const auto& field : fields) {
    if (!document.contains(field.name)) {
      if (field.required) {
        return reason.Fail(ErrorKind::kBadInput, std::string(field.name),
                           std::string(field.name) + " is missing.");
      }
      continue;
    }
    if (!ReadField(field, document.at(std::string(field.name)), target,
                   reason)) {
      return std::nullopt;
    }
  }
  return target;
}

}  // namespace kcm::core
