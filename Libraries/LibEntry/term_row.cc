#include "LibEntry/term_row.h"

#include "LibCore/json_decode.h"

namespace kcm::entry {

auto EncodeTerm(const TermRow& term) -> dispatch::StateRow {
  const auto bytes = core::Json::to_msgpack(core::Json::array(
      {term.epoch, term.name, term.address.host, term.address.port,
       term.lease_rows_since, term.cpu_capacity, ToJson(term.witnesses)}));
  return {kTermKey, {bytes.begin(), bytes.end()}};
}

auto FindTerm(const std::vector<dispatch::StateRow>& rows)
    -> std::optional<TermRow> {
  std::optional<TermRow> newest;
  for (const auto& row : rows) {
    if (row.key != kTermKey) {
      continue;
    }
    const auto document = core::ParseMessagePack(row.value);
    constexpr std::size_t kMembers = 4;
    const auto is_readable =
        document.is_array() && document.size() >= kMembers &&
        core::HasOnlyNumbersInRange(document) &&
        document[0].is_number_integer() && document[1].is_string() &&
        document[2].is_string() && document[3].is_number_integer();
    if (!is_readable) {
      continue;
    }
    core::Reason unused;
    const auto address =
        core::ParseAddress(document[2].get<std::string>() + ":" +
                               std::to_string(document[3].get<std::int64_t>()),
                           "address", unused);
    if (!address) {
      continue;
    }
    newest = TermRow{document[0], document[1], *address};
    if (document.size() > kMembers && document[kMembers].is_number_integer()) {
      newest->lease_rows_since = document[kMembers];
    }
    if (document.size() > kMembers + 1 && document[kMembers + 1].is_number()) {
      newest->cpu_capacity = document[kMembers + 1];
    }
    if (document.size() > kMembers + 2) {
      newest->witnesses =
          dispatch::ClockWitnessesFromJson(document[kMembers + 2])
              .value_or(dispatch::ClockWitnesses{});
    }
  }
  return newest;
}

}  // namespace kcm::entry
