#pragma once

#include <nlohmann/json.hpp>

namespace kcm::core {

/// A document: encoded as JSON for clients and for the services that this
/// software runs on (VM list and log), as MessagePack between its processes.
using Json = nlohmann::json;

}  // namespace kcm::core

/// Defines the JSON conversions of a struct; absent members keep defaults.
#define KCM_JSON NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT
