#include "cell_scheduler.h"

#include <utility>

#include "LibCore/clock.h"
#include "LibCore/event.h"

namespace kcm::scheduler {

namespace {

constexpr core::Millis kPassPeriodMs = 100;
constexpr core::Millis kRefuseTimeoutMs = 5000;
/// Renewals sent within the TTL of one lease.
constexpr core::Millis kRenewalsPerLease = 10;

}  // namespace

CellScheduler::CellScheduler(node::Node& node,
                             node::Heartbeats& heartbeats,
                             const node::LogFollower& follower,
                             WorkerDirectory& workers,
                             std::string data_centre)
    : node_(node),
      workers_(workers),
      data_centre_(std::move(data_centre)),
      stream_(state::JobStreamOf(data_centre_)),
      term_(node, heartbeats, follower, data_centre_),
      gangs_(node, term_, workers, data_centre_, [this](const auto& id) {
        const auto* job = cell().FindJob(id);
        if (planner_ && job != nullptr &&
            job->status == state::JobStatus::kAccepted) {
          planner_->JobWaiting(*job, core::MonotonicNow());
        }
      }) {
  node.log().OnApplied(
      [this](const node::AppliedRecord& applied) { OnApplied(applied); });
  node.log().OnSnapshot([this](const std::string& stream) {
    if (stream == stream_) {
      EndTerm();
    }
  });
  node.loop().Every(kPassPeriodMs, [this] { RunPass(); });
  node.loop().Every(node.settings().lease_ttl_ms / kRenewalsPerLease,
                    [this] { RenewLeases(); });
}

auto CellScheduler::cell() const -> const state::CellFold& {
  return *node_.log().cluster_state().FindCell(data_centre_);
}

auto CellScheduler::RunPass() -> void {
  term_.MaintainTerm();
  if (!term_.HoldsTerm()) {
    EndTerm();
    return;
  }
  if (!term_.MayIssueCommands()) {
    return;
  }
  if (!planner_ || planned_term_ != term_.number()) {
    StartTerm();
  }
  UpdateWorkers();
  gangs_.AdvanceTimers();
  ExecutePlan();
}

auto CellScheduler::RenewLeases() -> void {
  if (planner_ && term_.MayIssueCommands()) {
    gangs_.RenewLeases();
  } else if (term_.ShouldRenewForHolder()) {
    gangs_.RenewForHolder();
  }
}

auto CellScheduler::StartTerm() -> void {
  EndTerm();
  planned_term_ = term_.number();
  schedule::PolicySettings settings;
  settings.fragmentation_weight = node_.settings().fragmentation_weight;
  settings.reclaim_bound_ms = node_.settings().reclaim_bound_ms;
  planner_.emplace(settings, data_centre_);
  UpdateTable();
  for (const auto& id : cell().placed()) {
    UpdateJob(*cell().FindJob(id), "");
  }
  for (const auto& id : cell().waiting()) {
    UpdateJob(*cell().FindJob(id), "");
  }
}

auto CellScheduler::EndTerm() -> void {
  planner_.reset();
  reported_usable_.clear();
  gangs_.DropAllGangs();
}

auto CellScheduler::OnApplied(const node::AppliedRecord& applied) -> void {
  if (!planner_ || !applied.result.accepted) {
    return;
  }
  if (applied.stream == state::kTableStream) {
    UpdateTable();
    return;
  }
  const auto& body = applied.record.body;
  if (applied.stream != stream_ || !body.contains("job")) {
    return;
  }
  const auto* job = cell().FindJob(body.at("job").get<std::string>());
  if (job == nullptr) {
    return;
  }
  if (applied.record.kind == state::RecordKind::kJobCancelled &&
      !state::IsEnded(job->status)) {
    gangs_.NotifyGang(job->id, gang::CancelRequested{});
  } else {
    UpdateJob(*job, body.value("worker", ""));
  }
}

auto CellScheduler::UpdateJob(const state::Job& job,
                              const std::string& bad_worker) -> void {
  const auto now = core::MonotonicNow();
  if (state::IsEnded(job.status)) {
    gangs_.OnJobEnded(job.id);
    planner_->JobEnded(job, bad_worker, now);
    core::LogEvent(core::Event::kJobEnded,
                   {{"job", job.id}, {"status", core::NameOf(job.status)}});
    return;
  }
  if (job.status == state::JobStatus::kAccepted) {
    gangs_.DropGang(job.id);
    if (!bad_worker.empty()) {
      planner_->AttemptFailed(job, bad_worker, now);
    }
    planner_->JobWaiting(job, now);
    return;
  }
  gangs_.Adopt(job);
  planner_->JobPlaced(job, now);
}

auto CellScheduler::UpdateTable() -> void {
  const auto& table = node_.log().cluster_state().table();
  planner_->SetFleet(table.fleet());
  planner_->SetRows(table.rows());
  reported_usable_.clear();
}

auto CellScheduler::UpdateWorkers() -> void {
  for (const auto& worker :
       node_.log().cluster_state().table().fleet().workers) {
    if (worker.data_centre != data_centre_) {
      continue;
    }
    const bool usable = workers_.IsUsable(worker.id);
    const auto reported = reported_usable_.find(worker.id);
    if (reported == reported_usable_.end() || reported->second != usable) {
      reported_usable_[worker.id] = usable;
      planner_->SetWorkerUsable(worker.id, usable);
    }
  }
}

auto CellScheduler::ExecutePlan() -> void {
  for (const auto& action : planner_->Plan(core::MonotonicNow())) {
    std::visit([this](const auto& concrete) { ExecuteAction(concrete); },
               action);
  }
}

auto CellScheduler::ExecuteAction(const schedule::PlaceGang& action) -> void {
  if (const auto* job = cell().FindJob(action.job)) {
    gangs_.Assemble(*job, action.attempt, action.members);
  }
}

auto CellScheduler::ExecuteAction(const schedule::PreemptGang& action) -> void {
  core::LogEvent(core::Event::kGangPreempted,
                 {{"job", action.job}, {"beneficiary", action.beneficiary}});
  gangs_.NotifyGang(action.job, gang::PreemptRequested{action.beneficiary});
}

auto CellScheduler::ExecuteAction(const schedule::RefuseJob& action) -> void {
  const auto* job = cell().FindJob(action.job);
  if (job == nullptr) {
    return;
  }
  auto record = state::MakeRecord(state::RecordKind::kJobEnded, node_.self(),
                                  {{"job", job->id},
                                   {"attempt", job->attempt},
                                   {"term", term_.number()},
                                   {"status", state::JobStatus::kFailed},
                                   {"reason", action.reason}});
  core::LogEvent(core::Event::kJobRefused,
                 {{"job", job->id}, {"reason", action.reason}});
  node_.writer().Append(
      stream_, std::move(record), core::MonotonicNow() + kRefuseTimeoutMs,
      [this, id = job->id](const state::ApplyResult& result) {
        const auto* found = cell().FindJob(id);
        if (!result.accepted && planner_ && found != nullptr) {
          UpdateJob(*found, "");
        }
      });
}

auto CellScheduler::ExecuteAction(const schedule::CordonWorker& action)
    -> void {
  core::LogEvent(core::Event::kWorkerCordoned,
                 {{"worker", action.worker}, {"reason", action.reason}});
}

}  // namespace kcm::scheduler
