#include "baseline_strategy.h"

#include <utility>

namespace kcm::bench {

BaselineStrategy::BaselineStrategy(const Workload& workload,
                                   BaselineRules rules)
    : rules_(rules), free_(table_) {
  table_.SetFleet(workload.fleet, "a");
  table_.ResetMasks();
  free_.Reset();
}

auto BaselineStrategy::JobWaiting(const state::Job& job, core::Millis /*now*/)
    -> void {
  queue_.push_back(job);
}

auto BaselineStrategy::JobEnded(const state::Job& job, core::Millis /*now*/)
    -> void {
  const auto found = running_.find(job.id);
  if (found == running_.end()) {
    return;
  }
  auto& gang = found->second;
  free_.Release(gang.placement, gang.shape);
  for (std::size_t i = 0; i < gang.placement.size(); ++i) {
    table_.ReleaseMask(gang.placement[i].worker, gang.masks[i]);
  }
  running_.erase(found);
}

auto BaselineStrategy::Plan(core::Millis /*now*/)
    -> std::vector<schedule::Action> {
  std::vector<schedule::Action> actions;
  for (auto next = queue_.begin(); next != queue_.end();) {
    auto placement = FindPlacement(next->spec.shape);
    if (!placement && !rules_.backfill) {
      break;
    }
    if (!placement) {
      ++next;
      continue;
    }
    actions.emplace_back(PlaceJob(*next, std::move(*placement)));
    next = queue_.erase(next);
  }
  return actions;
}

auto BaselineStrategy::FindPlacement(const state::Shape& shape) const
    -> std::optional<schedule::Placement> {
  if (rules_.best_fit) {
    return free_.FindPlacement(shape);
  }
  const bool one_worker = shape.adjacency == state::Adjacency::kSameWorker;
  for (schedule::RackIndex rack = 0; rack < table_.rack_count(); ++rack) {
    schedule::Placement placement;
    auto missing = shape.members;
    for (const auto worker : table_.rack_workers(rack)) {
      const auto fitting = schedule::MembersThatFit(free_.free(worker), shape);
      const auto members = std::min(fitting, missing);
      if (members == 0 || (one_worker && members < shape.members)) {
        continue;
      }
      placement.push_back({worker, members});
      missing -= members;
      if (missing == 0) {
        return placement;
      }
    }
  }
  return std::nullopt;
}

auto BaselineStrategy::PlaceJob(const state::Job& job,
                                schedule::Placement placement)
    -> schedule::PlaceGang {
  RunningGang gang{job.spec.shape, std::move(placement), {}};
  schedule::PlaceGang place{job.id, job.attempt + 1, {}};
  for (const auto& allocation : gang.placement) {
    gang.masks.push_back(table_.AllocateAccelerators(
        allocation.worker, allocation.members * gang.shape.accelerators));
    for (std::int64_t i = 0; i < allocation.members; ++i) {
      place.members.push_back({table_.at(allocation.worker).id, "", "", {}});
    }
  }
  free_.Allocate(gang.placement, gang.shape);
  running_.emplace(job.id, std::move(gang));
  return place;
}

}  // namespace kcm::bench
