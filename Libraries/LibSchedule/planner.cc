#include "LibSchedule/planner.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

#include "LibSchedule/explain.h"
#include "LibSchedule/guaranteed_pass.h"
#include "LibSchedule/planner_state.h"
#include "LibSchedule/reservation_pass.h"
#include "LibSchedule/unguaranteed_pass.h"

namespace kcm::schedule {

namespace {

/// Queue penalty per unit of expected run time when only completion time
/// counts.
constexpr double kRunTimeStretch = 4;
/// Longest run time that the queue order distinguishes: 4 hours.
constexpr core::Millis kMaxRankedRunMs = 14400000;
/// Queue bonus per doubling of a gang's size when only fragmentation counts.
constexpr double kSizeBonusMs = 600000;

auto RankOf(const WaitingJob& job,
            core::Millis expected,
            const PolicySettings& settings) -> core::Millis {
  const auto run = static_cast<double>(std::min(expected, kMaxRankedRunMs));
  const auto size = static_cast<double>(
      std::max<std::int64_t>(state::TotalAccelerators(job.job_class.shape), 1));
  const auto penalty =
      (1 - settings.fragmentation_weight) * kRunTimeStretch * run;
  const auto bonus =
      settings.fragmentation_weight * kSizeBonusMs * std::log2(size);
  return job.waiting_since + static_cast<core::Millis>(penalty - bonus);
}

/// @return a gang with the placement that the log records for its members.
auto GangOf(const state::Job& job, CellModel& model) -> Gang {
  Gang gang;
  gang.id = job.id;
  gang.account = job.spec.account;
  gang.shape = job.spec.shape;
  gang.recovery = job.spec.recovery;
  gang.urgent = job.spec.urgent;
  gang.placed = true;
  gang.attempt = job.attempt;
  gang.declared_ms = job.spec.declared_run_ms;
  for (const auto& member : job.members) {
    const auto worker = model.table.Intern(member.worker);
    if (gang.placement.empty() || gang.placement.back().worker != worker) {
      gang.placement.push_back({worker, 0});
      gang.masks.push_back(0);
    }
    ++gang.placement.back().members;
    for (const auto index : member.accelerators) {
      gang.masks.back() |= std::uint64_t{1} << static_cast<unsigned>(index);
    }
  }
  model.Grow();
  return gang;
}

auto SameGuarantees(const std::map<std::string, state::AccountRow>& left,
                    const std::map<std::string, state::AccountRow>& right)
    -> bool {
  const auto same_row = [](const auto& a, const auto& b) {
    return a.first == b.first && a.second.may_borrow == b.second.may_borrow &&
           std::equal(a.second.guarantees.begin(), a.second.guarantees.end(),
                      b.second.guarantees.begin(), b.second.guarantees.end(),
                      [](const auto& x, const auto& y) {
                        return x.data_centre == y.data_centre &&
                               x.count == y.count && x.shape == y.shape;
                      });
  };
  return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                    same_row);
}

}  // namespace

Planner::Planner(PolicySettings settings, std::string data_centre)
    : state_(std::make_unique<PlannerState>(settings, std::move(data_centre))) {
}

Planner::Planner(Planner&& other) noexcept = default;
auto Planner::operator=(Planner&& other) noexcept -> Planner& = default;
Planner::~Planner() = default;

auto Planner::SetFleet(const state::Fleet& fleet) -> void {
  state_->CancelAllHolds();
  state_->model.table.SetFleet(fleet, state_->data_centre);
  for (const auto& [id, usable] : reported_usable_) {
    if (const auto worker = state_->model.table.Find(id)) {
      state_->model.table.SetUsable(*worker,
                                    usable && !state_->cordoned.contains(id));
    }
  }
  state_->Rebuild();
}

auto Planner::SetRows(const std::map<std::string, state::AccountRow>& rows)
    -> void {
  if (!SameGuarantees(state_->rows, rows)) {
    state_->needs_rebuild = true;
  }
  state_->rows = rows;
}

auto Planner::SetWorkerUsable(const std::string& worker, bool usable) -> void {
  reported_usable_[worker] = usable;
  const auto index = state_->model.table.Find(worker);
  const bool effective = usable && !state_->cordoned.contains(worker);
  if (!index || state_->model.table.at(*index).usable == effective) {
    return;
  }
  if (!effective) {
    // Guarantee units that lose a worker take precedence over reservations.
    state_->CancelReservations();
    std::vector<std::string> affected;
    for (const auto& [job, hold] : state_->holds) {
      if (std::any_of(hold.placement.begin(), hold.placement.end(),
                      [&](const Allocation& allocation) {
                        return allocation.worker == *index;
                      })) {
        affected.push_back(job);
      }
    }
    for (const auto& job : affected) {
      state_->CancelHold(job);
    }
  }
  state_->model.SetUsable(*index, effective);
  state_->ledger.OnWorkerUsabilityChanged(*index);
}

auto Planner::UncordonWorker(const std::string& worker) -> void {
  state_->cordoned.erase(worker);
  state_->failures.ForgetWorker(worker);
  const auto reported = reported_usable_.find(worker);
  SetWorkerUsable(worker,
                  reported == reported_usable_.end() || reported->second);
}

auto Planner::JobWaiting(const state::Job& job, core::Millis now) -> void {
  state_->now = now;
  if (const auto* known = state_->waiting.Find(job.id);
      known != nullptr && known->attempt == job.attempt) {
    return;
  }
  if (const auto found = quarantined_.find(job.id);
      found != quarantined_.end()) {
    state_->RemoveGang(job.id);
    Refuse(job.id, found->second);
    return;
  }
  WaitingJob waiting;
  waiting.id = job.id;
  waiting.account = job.spec.account;
  waiting.job_class = {job.spec.shape, job.spec.urgent,
                       job.spec.recovery != state::Recovery::kNone};
  waiting.recovery = job.spec.recovery;
  waiting.declared_ms = job.spec.declared_run_ms;
  waiting.attempt = job.attempt;
  waiting.waiting_since = now;
  if (const auto gang = state_->gangs.find(job.id);
      gang != state_->gangs.end()) {
    // The time that the gang ran does not count as waiting.
    waiting.waiting_since =
        gang->second.waiting_since + (now - gang->second.started);
    state_->RemoveGang(job.id);
  }
  if (state_->model.table.rack_count() > 0 &&
      !state_->model.recorded.FindPlacement(job.spec.shape)) {
    Refuse(job.id, "The gang finds no room in " + state_->data_centre +
                       " even when all its workers are free.");
    return;
  }
  waiting.rank = RankOf(
      waiting,
      state_->estimate.ExpectedRunTime(waiting.account, waiting.declared_ms),
      state_->settings);
  state_->waiting.Insert(std::move(waiting));
}

auto Planner::JobPlaced(const state::Job& job, core::Millis now) -> void {
  state_->now = now;
  if (const auto found = state_->gangs.find(job.id);
      found != state_->gangs.end() && found->second.attempt == job.attempt) {
    if (!found->second.placed) {
      state_->ConfirmPlacement(found->second);
    }
    return;
  }
  state_->CancelHold(job.id);
  state_->waiting.Erase(job.id);
  auto gang = GangOf(job, state_->model);
  gang.waiting_since = now;
  gang.started = now;
  state_->AdoptGang(std::move(gang));
}

auto Planner::AttemptFailed(const state::Job& job,
                            const std::string& bad_worker,
                            core::Millis now) -> void {
  state_->now = now;
  const auto finding =
      state_->failures.RecordFailure(job.id, job.spec.account, bad_worker);
  if (!finding.bad_worker.empty()) {
    Cordon(finding.bad_worker,
           "Jobs of several accounts failed on the worker.");
  }
  if (!finding.bad_job.empty()) {
    quarantined_[finding.bad_job] =
        "The job failed on several healthy workers.";
  }
}

auto Planner::Cordon(const std::string& worker, const std::string& reason)
    -> void {
  if (!state_->cordoned.insert(worker).second) {
    return;
  }
  const auto reported = reported_usable_.find(worker);
  SetWorkerUsable(worker,
                  reported == reported_usable_.end() || reported->second);
  pending_actions_.emplace_back(CordonWorker{worker, reason});
}

auto Planner::JobEnded(const state::Job& job,
                       const std::string& bad_worker,
                       core::Millis now) -> void {
  state_->now = now;
  state_->CancelHold(job.id);
  state_->waiting.Erase(job.id);
  if (!bad_worker.empty()) {
    AttemptFailed(job, bad_worker, now);
  }
  if (const auto found = state_->gangs.find(job.id);
      found != state_->gangs.end()) {
    const auto& gang = found->second;
    if (job.status == state::JobStatus::kDone) {
      for (const auto& worker :
           state_->failures.RecordSuccessElsewhere(job.id)) {
        Cordon(worker,
               "Jobs that failed on the worker ran well on other workers.");
      }
      for (const auto& allocation : gang.placement) {
        state_->failures.RecordSuccess(
            state_->model.table.at(allocation.worker).id);
      }
      if (job.checkpoint.empty()) {
        state_->estimate.RecordRunTime(gang.account, gang.declared_ms,
                                       now - gang.started);
      }
    }
    state_->RemoveGang(job.id);
  }
  if (state::IsEnded(job.status)) {
    state_->failures.ForgetJob(job.id);
    quarantined_.erase(job.id);
  }
}

auto Planner::Plan(core::Millis now) -> std::vector<Action> {
  state_->now = now;
  if (state_->needs_rebuild) {
    state_->Rebuild();
  }
  // Preemptions that waited for a placement may already be in the list.
  auto& actions = state_->actions;
  actions.insert(actions.end(),
                 std::make_move_iterator(pending_actions_.begin()),
                 std::make_move_iterator(pending_actions_.end()));
  pending_actions_.clear();
  ReservationPass reservations(*state_);
  reservations.FinishHolds();
  GuaranteedPass(*state_).Run();
  UnguaranteedPass unguaranteed(*state_);
  unguaranteed.RunUrgent();
  unguaranteed.RunFair();
  reservations.OpenReservations(unguaranteed.blocked());
  reservations.Backfill(unguaranteed.blocked());
  return std::exchange(state_->actions, {});
}

auto Planner::Explain(const std::string& job, core::Millis now) const
    -> std::string {
  if (const auto found = quarantined_.find(job); found != quarantined_.end()) {
    return found->second;
  }
  return ExplainWait(*state_, job, now);
}

auto Planner::Refuse(const std::string& job, const std::string& reason)
    -> void {
  pending_actions_.emplace_back(RefuseJob{job, reason});
}

}  // namespace kcm::schedule
