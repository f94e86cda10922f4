#pragma once

#include <string>

namespace kcm::node {

/// @return docs/SETTINGS.md, written from the tables that check the settings.
[[nodiscard]] auto SettingsReference() -> std::string;

}  // namespace kcm::node
