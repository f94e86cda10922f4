#include "LibDispatch/clock_witness.h"

#include "LibCore/json_decode.h"

namespace kcm::dispatch {

using core::Json;

auto ToJson(const ClockWitnesses& witnesses) -> Json {
  auto document = Json::array();
  for (const auto& witness : witnesses) {
    document.push_back(
        Json::array({witness.worker, witness.incarnation, witness.latest_ms}));
  }
  return document;
}

auto ClockWitnessesFromJson(const Json& document)
    -> std::optional<ClockWitnesses> {
  constexpr std::size_t kMembers = 3;
  if (!document.is_array()) {
    return std::nullopt;
  }
  ClockWitnesses witnesses;
  for (const auto& row : document) {
    const auto is_readable =
        row.is_array() && row.size() == kMembers && row[0].is_string() &&
        core::ToWholeNumber(row[1]) && core::ToWholeNumber(row[2]);
    if (!is_readable) {
      return std::nullopt;
    }
    witnesses.push_back({row[0], row[1], row[2]});
  }
  return witnesses;
}

}  // namespace kcm::dispatch
