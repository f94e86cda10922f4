#pragma once

#include <algorithm>
#include <optional>
#include <string>
#include <string_view>

#include "LibCore/json.h"

namespace kcm::core {

/// One value of an enumeration with its name on the wire.
template <typename Enum>
struct EnumName {
  Enum value;
  std::string_view name;
};

/// Name table of an enumeration; a specialisation holds the array `kRows`.
template <typename Enum>
struct EnumNames;

template <typename Enum>
concept NamedEnum = requires {
  EnumNames<Enum>::kRows;
};

/// @return the value's name on the wire.
template <NamedEnum Enum>
[[nodiscard]] auto NameOf(Enum value) -> std::string_view {
  for (const auto& row : EnumNames<Enum>::kRows) {
    if (row.value == value) {
      return row.name;
    }
  }
  return "unknown";
}

/// @return the value with this name, or nothing.
template <NamedEnum Enum>
[[nodiscard]] auto ValueOf(std::string_view name) -> std::optional<Enum> {
  for (const auto& row : EnumNames<Enum>::kRows) {
    if (row.name == name) {
      return row.value;
    }
  }
  return std::nullopt;
}

/// @return all names, separated by commas, for error messages.
template <NamedEnum Enum>
[[nodiscard]] auto AllNamesOf() -> std::string {
  std::string names;
  for (const auto& row : EnumNames<Enum>::kRows) {
    names += (names.empty() ? "" : ", ") + std::string(row.name);
  }
  return names;
}

}  // namespace kcm::core

namespace nlohmann {

/// Converts named enumerations by name; an unknown name gives the default.
template <kcm::core::NamedEnum Enum>
struct adl_serializer<Enum> {
  static auto to_json(json& document, const Enum& value) -> void {
    document = std::string(kcm::core::NameOf(value));
  }
  static auto from_json(const json& document, Enum& value) -> void {
    value =
        kcm::core::ValueOf<Enum>(document.get<std::string>()).value_or(Enum{});
  }
};

}  // namespace nlohmann
