#include "LibSchedule/guarantee_unit.h"

#include "LibSchedule/capacity.h"

namespace kcm::schedule {

namespace {

/// @return a rank that grows with the workers the adjacency permits.
auto Looseness(state::Adjacency adjacency) -> int {
  switch (adjacency) {
    case state::Adjacency::kSameWorker:
      return 0;
    case state::Adjacency::kSameRack:
      return 1;
    case state::Adjacency::kNeighbouringRacks:
      return 2;
    case state::Adjacency::kAnywhere:
      return 3;
  }
  return 0;
}

}  // namespace

auto MembersPerSlot(const state::Shape& unit, const state::Shape& job)
    -> std::int64_t {
  return MembersThatFit(CapacityOf(unit, 1), job);
}

auto SlotsNeeded(const state::Shape& unit, const state::Shape& job)
    -> std::int64_t {
  const auto per_slot = MembersPerSlot(unit, job);
  if (per_slot == 0) {
    return 0;
  }
  const auto slots = (job.members + per_slot - 1) / per_slot;
  // One slot is on one worker, which satisfies every adjacency.
  const bool close_enough =
      slots == 1 || Looseness(unit.adjacency) <= Looseness(job.adjacency);
  return close_enough && slots <= unit.members ? slots : 0;
}

}  // namespace kcm::schedule
