#include "LibSchedule/planner_state.h"

#include <algorithm>
#include <utility>

namespace kcm::schedule {

namespace {

/// Assumed part of a checkpointable gang's work that a preemption loses.
constexpr double kCheckpointLoss = 0.1;

const state::AccountRow kDefaultRow;

}  // namespace

PlannerState::PlannerState(PolicySettings policy, std::string cell)
    : settings(policy), data_centre(std::move(cell)), ledger(model) {}

auto PlannerState::Place(const WaitingJob& job,
                         AllocationClass allocation_class,
                         GuaranteeUnit* unit,
                         Placement placement) -> void {
  Gang gang;
  gang.id = job.id;
  gang.account = job.account;
  gang.shape = job.job_class.shape;
  gang.recovery = job.recovery;
  gang.urgent = job.job_class.urgent;
  gang.allocation_class = allocation_class;
  gang.unit = unit;
  gang.attempt = job.attempt + 1;
  gang.declared_ms = job.declared_ms;
  gang.waiting_since = job.waiting_since;
  gang.started = now;
  gang.placement = std::move(placement);
  for (const auto& allocation : gang.placement) {
    gang.masks.push_back(model.table.AllocateAccelerators(
        allocation.worker, allocation.members * gang.shape.accelerators));
  }
  auto& stored = gangs.emplace(gang.id, std::move(gang)).first->second;
  model.AddGang(stored);
  usage.Add(stored, 1);
  if (allocation_class == AllocationClass::kNonPreemptible) {
    model.ReserveUncommitted(stored.placement, stored.shape);
  }
  actions.emplace_back(PlaceGang{stored.id, stored.attempt, MembersOf(stored)});
  waiting.Erase(stored.id);
}

auto PlannerState::FindPlacement(CapacityView& view,
                                 const WaitingJob& job) const
    -> std::optional<Placement> {
  const auto& failed_on = failures.WorkersFailedOn(job.id);
  if (failed_on.empty()) {
    return view.FindPlacement(job.job_class.shape);
  }
  std::vector<std::pair<WorkerIndex, Capacity>> hidden;
  for (const auto& id : failed_on) {
    if (const auto worker = model.table.Find(id)) {
      hidden.emplace_back(*worker, view.free(*worker));
      view.Set(*worker, {});
    }
  }
  auto placement = view.FindPlacement(job.job_class.shape);
  for (const auto& [worker, free] : hidden) {
    view.Set(worker, free);
  }
  return placement ? placement : view.FindPlacement(job.job_class.shape);
}

auto PlannerState::MembersOf(const Gang& gang) const
    -> std::vector<state::Member> {
  std::vector<state::Member> members;
  members.reserve(static_cast<std::size_t>(gang.shape.members));
  for (std::size_t i = 0; i < gang.placement.size(); ++i) {
    const auto& worker = model.table.at(gang.placement[i].worker);
    auto mask = gang.masks[i];
    for (std::int64_t n = 0; n < gang.placement[i].members; ++n) {
      state::Member member{
          worker.id, model.table.rack_name(worker.rack), "", {}};
      for (std::int64_t a = 0; a < gang.shape.accelerators; ++a) {
        member.accelerators.push_back(__builtin_ctzll(mask));
        mask &= mask - 1;
      }
      members.push_back(std::move(member));
    }
  }
  return members;
}

auto PlannerState::PreemptFor(Hold hold, const std::vector<Gang*>& victims)
    -> void {
  hold.since = now;
  hold.preempt_at = now;
  hold.expected_ready = now + settings.reclaim_bound_ms;
  for (auto* victim : victims) {
    hold.victims.push_back(victim->id);
    Preempt(*victim, hold.job);
  }
  AddHold(std::move(hold));
}

auto PlannerState::AddHold(Hold hold) -> void {
  model.AllocateHold(hold.placement, hold.shape);
  if (hold.allocation_class == AllocationClass::kNonPreemptible) {
    model.ReserveUncommitted(hold.placement, hold.shape);
  }
  const auto job = hold.job;
  holds.emplace(job, std::move(hold));
}

auto PlannerState::CancelHold(const std::string& job) -> void {
  const auto found = holds.find(job);
  if (found == holds.end()) {
    return;
  }
  const auto& hold = found->second;
  model.ReleaseHold(hold.placement, hold.shape);
  if (hold.allocation_class == AllocationClass::kNonPreemptible) {
    model.ReleaseUncommitted(hold.placement, hold.shape);
  }
  if (hold.unit != nullptr) {
    GuaranteeLedger::Uncharge(*hold.unit, hold.placement, hold.shape);
  }
  holds.erase(found);
}

auto PlannerState::CancelReservations() -> void {
  std::vector<std::string> jobs;
  for (const auto& [job, hold] : holds) {
    if (hold.reservation) {
      jobs.push_back(job);
    }
  }
  for (const auto& job : jobs) {
    CancelHold(job);
  }
}

auto PlannerState::CancelAllHolds() -> void {
  while (!holds.empty()) {
    CancelHold(std::string(holds.begin()->first));
  }
}

auto PlannerState::Preempt(Gang& gang, const std::string& beneficiary) -> void {
  if (gang.preempting || gang.allocation_class != AllocationClass::kBorrowed) {
    return;
  }
  gang.preempting = true;
  if (gang.placed) {
    actions.emplace_back(PreemptGang{gang.id, gang.attempt, beneficiary});
  } else {
    pending_preemptions_[gang.id] = beneficiary;
  }
}

auto PlannerState::ConfirmPlacement(Gang& gang) -> void {
  gang.placed = true;
  gang.started = now;
  const auto found = pending_preemptions_.find(gang.id);
  if (found != pending_preemptions_.end()) {
    actions.emplace_back(PreemptGang{gang.id, gang.attempt, found->second});
    pending_preemptions_.erase(found);
  }
}

auto PlannerState::RemoveGang(const std::string& id) -> void {
  const auto found = gangs.find(id);
  if (found == gangs.end()) {
    return;
  }
  auto& gang = found->second;
  pending_preemptions_.erase(id);
  usage.Add(gang, -1);
  model.RemoveGang(gang);
  if (gang.allocation_class == AllocationClass::kNonPreemptible) {
    model.ReleaseUncommitted(gang.placement, gang.shape);
  }
  if (gang.unit != nullptr) {
    GuaranteeLedger::Uncharge(*gang.unit, gang.placement, gang.shape);
  }
  const bool was_committed =
      gang.allocation_class != AllocationClass::kBorrowed;
  gangs.erase(found);
  if (was_committed) {
    ledger.PlaceUnplacedUnits();
  }
}

auto PlannerState::AdoptGang(Gang gang) -> void {
  RemoveGang(gang.id);
  gang.allocation_class = AllocationClass::kBorrowed;
  auto& stored = gangs.emplace(gang.id, std::move(gang)).first->second;
  model.AddGang(stored);
  usage.Add(stored, 1);
  needs_rebuild = true;
}

auto PlannerState::Rebuild() -> void {
  CancelAllHolds();
  std::vector<Gang*> all;
  all.reserve(gangs.size());
  for (auto& [id, gang] : gangs) {
    all.push_back(&gang);
  }
  model.Reset(all);
  ledger.Rebuild(rows, data_centre, all);
  usage.Clear();
  for (const auto* gang : all) {
    usage.Add(*gang, 1);
  }
  needs_rebuild = false;
}

auto PlannerState::AllocationClassOf(const WaitingJob& job) const
    -> AllocationClass {
  const bool may_borrow = RowOf(job.account).may_borrow;
  return job.job_class.preemptible && may_borrow
             ? AllocationClass::kBorrowed
             : AllocationClass::kNonPreemptible;
}

auto PlannerState::ExpectedRemaining(const Gang& gang, core::Millis at) const
    -> core::Millis {
  const auto ran = at - gang.started;
  const auto expected =
      estimate.ExpectedRunTime(gang.account, gang.declared_ms);
  // A gang past its expected end is assumed to run half as long again.
  return std::max(expected - ran, ran / 2);
}

auto PlannerState::RowOf(const std::string& account) const
    -> const state::AccountRow& {
  const auto found = rows.find(account);
  return found == rows.end() ? kDefaultRow : found->second;
}

auto PlannerState::WithinLimits(const WaitingJob& job) const -> bool {
  const auto& row = RowOf(job.account);
  auto requested = state::TotalAccelerators(job.job_class.shape);
  auto urgent = requested;
  for (const auto& [id, hold] : holds) {
    const auto* other = waiting.Find(id);
    if (other == nullptr || other->account != job.account || id == job.id) {
      continue;
    }
    const auto held = state::TotalAccelerators(hold.shape);
    requested += held;
    urgent += other->job_class.urgent ? held : 0;
  }
  if (usage.accelerators(job.account) + requested > row.accelerators) {
    return false;
  }
  return !job.job_class.urgent ||
         usage.urgent_accelerators(job.account) + urgent <=
             row.urgent_accelerators;
}

auto PlannerState::LostWork(const Gang& gang) const -> double {
  const auto size = std::max<std::int64_t>(state::TotalAccelerators(gang.shape),
                                           gang.shape.members);
  const auto work =
      static_cast<double>(size) *
      static_cast<double>(std::max<core::Millis>(now - gang.started, 1));
  return gang.recovery == state::Recovery::kCheckpointable
             ? work * kCheckpointLoss
             : work;
}

}  // namespace kcm::schedule
