#include "LibSchedule/planner.h"

#include <utility>

#include "LibSchedule/placement.h"

namespace kcm::schedule {

Planner::Planner(PolicySettings settings, std::string data_centre)
    : settings_(settings), data_centre_(std::move(data_centre)) {}

auto Planner::SetFleet(const state::Fleet& fleet) -> void {
  fleet_ = FleetModel(fleet, data_centre_);
  for (const auto& [id, usable] : usable_) {
    fleet_.SetUsable(id, usable);
  }
  for (const auto& [id, job] : placed_) {
    for (const auto& member : job.members) {
      fleet_.Take(member, job.spec.shape);
    }
  }
  for (const auto& [id, waiting] : waiting_) {
    for (const auto& member : waiting.members) {
      fleet_.Take(member, waiting.job.spec.shape);
    }
  }
}

auto Planner::SetRows(const std::map<std::string, state::Row>& /*rows*/)
    -> void {}

auto Planner::SetWorkerUsable(const std::string& worker, bool usable) -> void {
  usable_[worker] = usable;
  fleet_.SetUsable(worker, usable);
}

auto Planner::JobWaiting(const state::Job& job, core::Millis now) -> void {
  JobEnded(job, "", now);
  waiting_[job.id] = {job, now, false, {}};
}

auto Planner::JobPlaced(const state::Job& job, core::Millis now) -> void {
  JobEnded(job, "", now);
  for (const auto& member : job.members) {
    fleet_.Take(member, job.spec.shape);
  }
  placed_[job.id] = job;
}

auto Planner::JobEnded(const state::Job& job,
                       const std::string& /*bad_worker*/,
                       core::Millis /*now*/) -> void {
  if (const auto found = waiting_.find(job.id); found != waiting_.end()) {
    for (const auto& member : found->second.members) {
      fleet_.Give(member, found->second.job.spec.shape);
    }
    waiting_.erase(found);
  }
  if (const auto found = placed_.find(job.id); found != placed_.end()) {
    for (const auto& member : found->second.members) {
      fleet_.Give(member, found->second.spec.shape);
    }
    placed_.erase(found);
  }
}

auto Planner::Plan(core::Millis /*now*/) -> std::vector<Action> {
  std::vector<Action> actions;
  for (auto& [id, waiting] : waiting_) {
    if (waiting.assembling) {
      continue;
    }
    auto members = FindPlacement(fleet_, waiting.job.spec.shape);
    if (!members) {
      continue;
    }
    for (const auto& member : *members) {
      fleet_.Take(member, waiting.job.spec.shape);
    }
    waiting.assembling = true;
    waiting.members = *members;
    actions.emplace_back(
        PlaceGang{id, waiting.job.attempt + 1, std::move(*members)});
  }
  return actions;
}

auto Planner::Explain(const std::string& job, core::Millis now) const
    -> std::string {
  const auto found = waiting_.find(job);
  if (found == waiting_.end()) {
    return "The job does not wait.";
  }
  return "Waits for " + std::to_string(now - found->second.since) +
         " ms: no room for the whole gang.";
}

}  // namespace kcm::schedule
