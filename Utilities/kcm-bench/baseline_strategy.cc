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

auto BaselineStrategy::Waiting(const state::Job& job, core::Millis /*now*/)
    -> void {
  queue_.push_back(job);
}

auto BaselineStrategy::Ended(const state::Job& job, core::Millis /*now*/)
    -> void {
  const auto found = running_.find(job.id);
  if (found == running_.end()) {
    return;
  }
  auto& gang = found->second;
  free_.Give(gang.seats, gang.shape);
  for (std::size_t i = 0; i < gang.seats.size(); ++i) {
    table_.GiveMask(gang.seats[i].worker, gang.masks[i]);
  }
  running_.erase(found);
}

auto BaselineStrategy::Plan(core::Millis /*now*/)
    -> std::vector<schedule::Action> {
  std::vector<schedule::Action> actions;
  for (auto next = queue_.begin(); next != queue_.end();) {
    auto seats = Find(next->spec.shape);
    if (!seats && !rules_.backfill) {
      break;
    }
    if (!seats) {
      ++next;
      continue;
    }
    actions.emplace_back(Start(*next, std::move(*seats)));
    next = queue_.erase(next);
  }
  return actions;
}

auto BaselineStrategy::Find(const state::Shape& shape) const
    -> std::optional<schedule::Seats> {
  if (rules_.best_fit) {
    return free_.Find(shape);
  }
  const bool one_worker = shape.adjacency == state::Adjacency::kSameWorker;
  for (schedule::RackIndex rack = 0; rack < table_.rack_count(); ++rack) {
    schedule::Seats seats;
    auto missing = shape.members;
    for (const auto worker : table_.rack_workers(rack)) {
      const auto room = schedule::MembersThatFit(free_.free(worker), shape);
      const auto part = std::min(room, missing);
      if (part == 0 || (one_worker && part < shape.members)) {
        continue;
      }
      seats.push_back({worker, part});
      missing -= part;
      if (missing == 0) {
        return seats;
      }
    }
  }
  return std::nullopt;
}

auto BaselineStrategy::Start(const state::Job& job, schedule::Seats seats)
    -> schedule::PlaceGang {
  Running gang{job.spec.shape, std::move(seats), {}};
  schedule::PlaceGang place{job.id, job.attempt + 1, {}};
  for (const auto& seat : gang.seats) {
    gang.masks.push_back(table_.TakeAccelerators(
        seat.worker, seat.members * gang.shape.accelerators));
    for (std::int64_t i = 0; i < seat.members; ++i) {
      place.members.push_back({table_.at(seat.worker).id, "", "", {}});
    }
  }
  free_.Take(gang.seats, gang.shape);
  running_.emplace(job.id, std::move(gang));
  return place;
}

}  // namespace kcm::bench
