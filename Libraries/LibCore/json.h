#pragma once

#include <nlohmann/json.hpp>

namespace kcm::core {

/// The one document type: JSON towards the outside, MessagePack between
/// processes, both by the library.
using Json = nlohmann::json;

}  // namespace kcm::core

/// Declares both conversions of a plain struct; absent members keep defaults.
#define KCM_JSON NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT
