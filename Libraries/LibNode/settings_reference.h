#pragma once

#include <string>

namespace kcm::node {

/// @return the text of docs/SETTINGS.md, generated from the settings tables.
[[nodiscard]] auto SettingsReference() -> std::string;

}  // namespace kcm::node
