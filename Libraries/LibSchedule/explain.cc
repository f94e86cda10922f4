#include "LibSchedule/explain.h"

#include <algorithm>

namespace kcm::schedule {

namespace {

auto GroupName(state::Adjacency adjacency) -> std::string {
  switch (adjacency) {
    case state::Adjacency::kSameWorker:
      return "one worker";
    case state::Adjacency::kSameRack:
      return "one rack";
    case state::Adjacency::kNeighbouringRacks:
      return "two neighbouring racks";
    case state::Adjacency::kAnywhere:
      return "the data centre";
  }
  return "";
}

auto ExplainHold(const PlannerState& state, const Hold& hold, core::Millis now)
    -> std::string {
  std::int64_t ready = 0;
  for (const auto& allocation : hold.placement) {
    ready +=
        std::min(allocation.members,
                 MembersThatFit(state.model.unoccupied.free(allocation.worker),
                                hold.shape));
  }
  const auto& worker = state.model.table.at(hold.placement.front().worker);
  const auto progress = std::to_string(ready) + " of " +
                        std::to_string(hold.shape.members) +
                        " members have room";
  if (hold.reservation) {
    return "room is reserved from rack " +
           state.model.table.rack_name(worker.rack) + " on since " +
           std::to_string(now - hold.since) + " ms; " + progress +
           "; expected in " +
           std::to_string(
               std::max<core::Millis>(hold.expected_ready - now, 0)) +
           " ms.";
  }
  return "room is being reclaimed from " + std::to_string(hold.victims.size()) +
         " borrowers since " + std::to_string(now - hold.since) +
         " ms, bound " + std::to_string(state.settings.reclaim_bound_ms) +
         " ms; " + progress + ".";
}

auto ExplainGuarantee(const PlannerState& state, const WaitingJob& job)
    -> std::string {
  std::int64_t units = 0;
  std::int64_t used = 0;
  for (const auto& unit : state.ledger.units()) {
    if (unit.account != job.account) {
      continue;
    }
    ++units;
    used += unit.used_slots > 0 ? 1 : 0;
  }
  if (units == 0) {
    return "the account holds no guarantee here";
  }
  if (used == units) {
    return "all " + std::to_string(units) +
           " guaranteed gangs of the account are in use";
  }
  return "the free guarantees of the account (" + std::to_string(units - used) +
         " of " + std::to_string(units) + ") do not cover this shape";
}

auto ExplainLimit(const PlannerState& state, const WaitingJob& job)
    -> std::string {
  const auto& row = state.RowOf(job.account);
  const auto requested = state::TotalAccelerators(job.job_class.shape);
  if (job.job_class.urgent &&
      state.usage.urgent_accelerators(job.account) + requested >
          row.urgent_accelerators) {
    return "the urgent limit of the account is " +
           std::to_string(row.urgent_accelerators) + " accelerators, " +
           std::to_string(state.usage.urgent_accelerators(job.account)) +
           " are in use and the gang needs " + std::to_string(requested) + ".";
  }
  return "the limit of the account is " + std::to_string(row.accelerators) +
         " accelerators, " +
         std::to_string(state.usage.accelerators(job.account)) +
         " are in use and the gang needs " + std::to_string(requested) + ".";
}

auto ExplainCapacity(const PlannerState& state, const WaitingJob& job)
    -> std::string {
  const auto& shape = job.job_class.shape;
  const bool non_preemptible =
      state.AllocationClassOf(job) == AllocationClass::kNonPreemptible;
  const auto& view =
      non_preemptible ? state.model.free_uncommitted : state.model.free;
  auto text = "the gang needs " + std::to_string(shape.members) +
              " members with " + std::to_string(shape.accelerators) +
              " accelerators each in " + GroupName(shape.adjacency) +
              ", and the best has room for " +
              std::to_string(view.MaxPlaceableMembers(shape));
  if (non_preemptible && !state.ledger.AllUnitsPlaced()) {
    text +=
        "; jobs that cannot be preempted wait until all guarantees have "
        "their room again";
  } else if (non_preemptible) {
    text += " beside what is owed to others";
  }
  for (const auto& [id, hold] : state.holds) {
    text += "; " + std::to_string(state::TotalAccelerators(hold.shape)) +
            " accelerators are reserved for " + id;
  }
  return text + ".";
}

}  // namespace

auto ExplainWait(const PlannerState& state,
                 const std::string& job,
                 core::Millis now) -> std::string {
  const auto* waiting = state.waiting.Find(job);
  if (waiting == nullptr) {
    return state.gangs.contains(job) ? "The job has its room."
                                     : "The job does not wait.";
  }
  const auto start =
      "Waits for " + std::to_string(now - waiting->waiting_since) + " ms: ";
  if (const auto hold = state.holds.find(job); hold != state.holds.end()) {
    return start + ExplainHold(state, hold->second, now);
  }
  const auto guarantee = ExplainGuarantee(state, *waiting) + "; ";
  if (!state.WithinLimits(*waiting)) {
    return start + guarantee + ExplainLimit(state, *waiting);
  }
  return start + guarantee + ExplainCapacity(state, *waiting);
}

}  // namespace kcm::schedule
