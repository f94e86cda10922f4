#include "LibEntry/evacuation_table.h"

#include <utility>

namespace kcm::entry {

auto EvacuationTable::Apply(const RowBatch& batch, core::Millis now) -> bool {
  const auto former = since_;
  if (batch.whole) {
    since_.clear();
  }
  for (const auto& row : batch.rows) {
    const auto data_centre = decode_key_ ? decode_key_(row.key) : std::nullopt;
    if (!data_centre) {
      continue;
    }
    // A complete table lists no deleted rows: one without a value is one whose
    // value cannot be read.
    if (row.value.empty() && !batch.whole) {
      since_.erase(*data_centre);
      continue;
    }
    const auto known = former.find(*data_centre);
    since_.try_emplace(*data_centre,
                       known == former.end() ? now : known->second);
  }
  return since_ != former;
}

auto EvacuationTable::DataCentres() const -> std::set<std::string> {
  std::set<std::string> data_centres;
  for (const auto& [data_centre, since] : since_) {
    data_centres.insert(data_centre);
  }
  return data_centres;
}

}  // namespace kcm::entry
