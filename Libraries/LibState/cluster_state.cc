#include "LibState/cluster_state.h"

namespace kcm::state {

auto JobStreamOf(const std::string& data_centre) -> std::string {
  return "jobs." + data_centre;
}

auto IntentStreamOf(const std::string& data_centre) -> std::string {
  return "intents." + data_centre;
}

ClusterState::ClusterState(const std::vector<std::string>& data_centres) {
  folds_[std::string(kTableStream)] = table_;
  for (const auto& data_centre : data_centres) {
    auto cell = std::make_shared<CellFold>();
    auto intents = std::make_shared<IntentFold>();
    cells_[data_centre] = cell;
    intents_[data_centre] = intents;
    folds_[JobStreamOf(data_centre)] = cell;
    folds_[IntentStreamOf(data_centre)] = intents;
  }
  for (const auto& [stream, fold] : folds_) {
    streams_.push_back(stream);
  }
}

auto ClusterState::FindCell(const std::string& data_centre) const
    -> const CellFold* {
  const auto found = cells_.find(data_centre);
  return found == cells_.end() ? nullptr : found->second.get();
}

auto ClusterState::FindIntents(const std::string& data_centre) const
    -> const IntentFold* {
  const auto found = intents_.find(data_centre);
  return found == intents_.end() ? nullptr : found->second.get();
}

auto ClusterState::FindFold(const std::string& stream) const -> Fold* {
  const auto found = folds_.find(stream);
  return found == folds_.end() ? nullptr : found->second.get();
}

}  // namespace kcm::state
