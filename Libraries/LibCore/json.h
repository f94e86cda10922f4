#pragma once

#include <nlohmann/json.hpp>

namespace kcm::core {

/// A document: encoded as JSON for clients and the platform, as MessagePack
/// between processes.
using Json = nlohmann::json;

}  // namespace kcm::core

/// Defines the JSON conversions of a struct; absent members keep defaults.
#define KCM_JSON NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT
