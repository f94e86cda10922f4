#include "LibNode/settings_reference.h"

#include <type_traits>

#include "LibNode/node_settings.h"

namespace kcm::node {

namespace {

auto DefaultText(const std::string& value) -> std::string {
  return value.empty() ? "empty" : '"' + value + '"';
}

auto DefaultText(const core::Address& /*value*/) -> std::string {
  return "none";
}

auto DefaultText(std::int64_t value) -> std::string {
  return std::to_string(value);
}

auto DefaultText(double value) -> std::string {
  return core::FormatBound(value);
}

auto DefaultText(bool value) -> std::string {
  return value ? "true" : "false";
}

template <typename T>
auto AllowedText(const core::Field<T>& field) -> std::string {
  return std::visit(
      [&](auto member) -> std::string {
        const T defaults{};
        using Value = std::decay_t<decltype(defaults.*member)>;
        auto allowed =
            std::string(core::detail::TypeNameOf(Value(defaults.*member)));
        if constexpr (core::detail::kHasBounds<Value>) {
          allowed += ", " + core::FormatBound(field.minimum) + " to " +
                     core::FormatBound(field.maximum);
          allowed += std::is_same_v<Value, std::string> ? " characters" : "";
        }
        return allowed;
      },
      field.member);
}

template <typename T>
auto DefaultColumn(const core::Field<T>& field) -> std::string {
  if (field.required) {
    return "required";
  }
  const T defaults{};
  return std::visit([&](auto member) { return DefaultText(defaults.*member); },
                    field.member);
}

template <typename T>
auto FormatTable(std::span<const core::Field<T>> fields) -> std::string {
  std::string text =
      "| key | allowed | default | meaning |\n|---|---|---|---|\n";
  for (const auto& field : fields) {
    text += "| `" + std::string(field.name) + "` | " + AllowedText(field) +
            " | " + DefaultColumn(field) + " | " +
            std::string(field.description) + " |\n";
  }
  return text;
}

}  // namespace

auto SettingsReference() -> std::string {
  return "# Settings\n\n"
         "One TOML file for each entry VM, shared by its processes. "
         "`kcm-gateway --config FILE.toml --check`\nchecks it whole. This page "
         "is printed by `kcm-gateway --settings-reference`. A key such as\n"
         "`node.name` is `name` in the table `[node]`. Units stand in the "
         "names.\n\n" +
         FormatTable(NodeFields()) +
         "\n## `[[peer]]`, one for each entry VM, this one too\n\n" +
         FormatTable(PeerFields()) +
         "\n## `[[data_centre]]`, one for each data centre\n\n" +
         FormatTable(DataCentreFields());
}

}  // namespace kcm::node
