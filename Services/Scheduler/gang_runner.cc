#include "gang_runner.h"

#include <utility>

#include "LibCore/clock.h"
#include "LibCore/event.h"
#include "LibCore/identity.h"

namespace kcm::scheduler {

namespace {

constexpr core::Millis kAppendTimeoutMs = 5000;

auto IsSamePlacement(const state::Job* present, const state::Job& job) -> bool {
  return present != nullptr && present->status == state::JobStatus::kPlaced &&
         present->attempt == job.attempt &&
         present->members.front().lease == job.members.front().lease;
}

}  // namespace

GangRunner::GangRunner(node::Node& node,
                       const TermKeeper& term,
                       WorkerDirectory& workers,
                       std::string data_centre,
                       AssemblyFailed failed)
    : node_(node),
      term_(term),
      workers_(workers),
      port_(node.http()),
      data_centre_(std::move(data_centre)),
      on_assembly_failed_(std::move(failed)) {}

auto GangRunner::cell() const -> const state::CellFold& {
  return *node_.log().cluster_state().FindCell(data_centre_);
}

auto GangRunner::MakeGangSettings() const -> gang::GangSettings {
  gang::GangSettings settings;
  settings.lease_ttl_ms = node_.settings().lease_ttl_ms;
  settings.reclaim_bound_ms = node_.settings().reclaim_bound_ms;
  return settings;
}

auto GangRunner::Assemble(const state::Job& job,
                          std::int64_t attempt,
                          std::vector<state::Member> members) -> void {
  auto placed = job;
  placed.attempt = attempt;
  placed.members = std::move(members);
  for (auto& member : placed.members) {
    member.lease = core::MakeId("lease");
  }
  gangs_.insert_or_assign(
      job.id,
      gang::Gang::Assemble(placed, MakeGangSettings(), core::MonotonicNow()));
  for (std::size_t i = 0; i < placed.members.size(); ++i) {
    AcquireLease(placed, i);
  }
}

auto GangRunner::AcquireLease(const state::Job& job, std::size_t index)
    -> void {
  const auto& member = job.members[index];
  platform::LeaseRequest request;
  request.lease = member.lease;
  request.job = job.id;
  request.attempt = job.attempt;
  request.term = term_.number();
  request.accelerators = member.accelerators;
  request.cores = job.spec.shape.cores;
  request.memory_mb = job.spec.shape.memory_mb;
  request.ttl_ms = node_.settings().lease_ttl_ms;
  const auto address = workers_.AddressOf(member.worker);
  port_.Acquire(
      address.value_or(core::Address{}), request,
      [this, id = job.id, attempt = job.attempt, index,
       worker = member.worker](platform::CommandOutcome outcome) {
        if (outcome != platform::CommandOutcome::kDone) {
          core::LogEvent(core::Event::kLeaseRefused,
                         {{"worker", worker}, {"job", id}});
          workers_.ExcludeTemporarily(worker);
        }
        NotifyAttempt(id, attempt, gang::LeaseAnswered{index, outcome});
      });
}

auto GangRunner::Adopt(const state::Job& job) -> void {
  if (!gangs_.contains(job.id)) {
    gangs_.insert_or_assign(job.id, gang::Gang::Adopt(job, MakeGangSettings(),
                                                      core::MonotonicNow()));
  }
}

auto GangRunner::OnJobEnded(const std::string& job) -> void {
  const auto found = gangs_.find(job);
  if (found == gangs_.end()) {
    return;
  }
  const auto phase = found->second.phase();
  if (phase == gang::GangPhase::kAcquiring ||
      phase == gang::GangPhase::kCommitting) {
    NotifyGang(job, gang::CancelRequested{});
    return;
  }
  gangs_.erase(found);
}

auto GangRunner::DropGang(const std::string& job) -> void {
  gangs_.erase(job);
}

auto GangRunner::NotifyGang(const std::string& job,
                            const gang::GangEvent& event) -> void {
  const auto found = gangs_.find(job);
  if (found != gangs_.end()) {
    ExecuteActions(job, found->second.Apply(event, core::MonotonicNow()));
  }
}

auto GangRunner::NotifyAttempt(const std::string& job,
                               std::int64_t attempt,
                               const gang::GangEvent& event) -> void {
  const auto found = gangs_.find(job);
  if (found != gangs_.end() && found->second.job().attempt == attempt) {
    NotifyGang(job, event);
  }
}

auto GangRunner::AdvanceTimers() -> void {
  std::vector<std::string> jobs;
  jobs.reserve(gangs_.size());
  for (const auto& [id, gang] : gangs_) {
    jobs.push_back(id);
  }
  for (const auto& id : jobs) {
    NotifyGang(id, gang::TimerTick{});
  }
}

auto GangRunner::ExecuteActions(const std::string& job,
                                const gang::GangActions& actions) -> void {
  for (const auto& action : actions) {
    const auto found = gangs_.find(job);
    if (found == gangs_.end()) {
      return;
    }
    const auto copy = found->second.job();
    std::visit([&](const auto& concrete) { ExecuteAction(copy, concrete); },
               action);
  }
}

auto GangRunner::ExecuteAction(const state::Job& job,
                               const gang::CommitPlacement& /*action*/)
    -> void {
  const auto record =
      state::MakeRecord(state::RecordKind::kJobPlaced, node_.self(),
                        {{"job", job.id},
                         {"attempt", job.attempt},
                         {"term", term_.number()},
                         {"members", job.members}});
  AppendUntilSettled(record, term_.number(), [this, job] {
    const bool placed = IsSamePlacement(cell().FindJob(job.id), job);
    if (placed) {
      core::LogEvent(core::Event::kJobPlaced,
                     {{"job", job.id},
                      {"rack", job.members.front().rack},
                      {"members", job.members.size()}});
    }
    NotifyAttempt(job.id, job.attempt, gang::CommitSettled{placed});
    if (placed) {
      RenewGang(job.id);
    }
  });
}

auto GangRunner::ExecuteAction(const state::Job& job,
                               const gang::CommandMember& action) -> void {
  if (!term_.MayIssueCommands()) {
    // The gang repeats commands that were not sent.
    return;
  }
  const auto& member = job.members[action.member];
  if (action.command == platform::LeaseCommand::kStart) {
    StartMember(job, action.member);
    return;
  }
  if (action.command == platform::LeaseCommand::kStop) {
    StopMember(job, action.member);
    return;
  }
  if (const auto address = workers_.AddressOf(member.worker)) {
    port_.Command(*address, member.lease, term_.number(), action.command, {},
                  [](platform::CommandOutcome /*outcome*/) {});
  }
}

auto GangRunner::StartMember(const state::Job& job, std::size_t index) -> void {
  const auto& member = job.members[index];
  const auto address = workers_.AddressOf(member.worker);
  if (!address) {
    return;
  }
  auto task = job.spec.task;
  const auto checkpoint = gangs_.at(job.id).CheckpointOf(index);
  if (!checkpoint.empty()) {
    task["checkpoint"] = checkpoint;
  }
  port_.Command(*address, member.lease, term_.number(),
                platform::LeaseCommand::kStart, task,
                [](platform::CommandOutcome /*outcome*/) {});
}

auto GangRunner::StopMember(const state::Job& job, std::size_t index) -> void {
  const auto& member = job.members[index];
  const auto address = workers_.AddressOf(member.worker);
  if (!address) {
    return;
  }
  port_.Command(
      *address, member.lease, term_.number(), platform::LeaseCommand::kStop, {},
      [this, id = job.id, attempt = job.attempt,
       index](platform::CommandOutcome outcome) {
        NotifyAttempt(id, attempt, gang::StopAnswered{index, outcome});
      });
}

auto GangRunner::ReleaseLeases(const state::Job& job) -> void {
  for (std::size_t i = 0; i < job.members.size(); ++i) {
    StopMember(job, i);
  }
}

auto GangRunner::ExecuteAction(const state::Job& job,
                               const gang::RecordEnd& action) -> void {
  CloseAttempt(job, state::RecordKind::kJobEnded,
               {{"status", action.status},
                {"reason", action.reason},
                {"worker", action.bad_worker}});
}

auto GangRunner::ExecuteAction(const state::Job& job,
                               const gang::RecordRequeue& action) -> void {
  CloseAttempt(job, state::RecordKind::kJobRequeued,
               {{"checkpoint", action.checkpoint},
                {"started", action.started},
                {"reason", action.reason},
                {"worker", action.bad_worker}});
}

auto GangRunner::CloseAttempt(const state::Job& job,
                              state::RecordKind kind,
                              core::Json body) -> void {
  body["job"] = job.id;
  body["attempt"] = job.attempt;
  body["term"] = term_.number();
  const auto record = state::MakeRecord(kind, node_.self(), std::move(body));
  AppendUntilSettled(record, term_.number(), [this, job] {
    if (IsSamePlacement(cell().FindJob(job.id), job)) {
      NotifyAttempt(job.id, job.attempt, gang::CloseRefused{});
      return;
    }
    ReleaseLeases(job);
  });
}

auto GangRunner::ExecuteAction(const state::Job& job,
                               const gang::AbandonAssembly& /*action*/)
    -> void {
  gangs_.erase(job.id);
  on_assembly_failed_(job.id);
}

auto GangRunner::AppendUntilSettled(const state::Record& record,
                                    std::int64_t term,
                                    const std::function<void()>& settled)
    -> void {
  node_.writer().Append(
      state::JobStreamOf(data_centre_), record,
      core::MonotonicNow() + kAppendTimeoutMs,
      [this, record, term, settled](const state::ApplyResult& result) {
        if (!term_.HoldsTerm() || term_.number() != term) {
          return;
        }
        const auto kind = result.reason.kind;
        if (kind == core::ErrorKind::kOutcomeUnknown ||
            kind == core::ErrorKind::kLogDown) {
          // The fold applies a record id once, however often it is appended.
          AppendUntilSettled(record, term, settled);
          return;
        }
        settled();
      });
}

auto GangRunner::RenewLeases() -> void {
  LeaseBatches batches;
  for (const auto& [id, gang] : gangs_) {
    CollectRenewals(id, gang, batches);
  }
  for (const auto& [worker, batch] : batches) {
    RenewOnWorker(worker, batch);
  }
}

auto GangRunner::RenewGang(const std::string& id) -> void {
  const auto found = gangs_.find(id);
  if (found == gangs_.end()) {
    return;
  }
  LeaseBatches batches;
  CollectRenewals(id, found->second, batches);
  for (const auto& [worker, batch] : batches) {
    RenewOnWorker(worker, batch);
  }
}

auto GangRunner::CollectRenewals(const std::string& id,
                                 const gang::Gang& gang,
                                 LeaseBatches& batches) -> void {
  const auto& members = gang.job().members;
  for (std::size_t i = 0; i < members.size(); ++i) {
    if (gang.NeedsRenewal(i)) {
      batches[members[i].worker][members[i].lease] = {id, i};
    }
  }
}

auto GangRunner::RenewOnWorker(const std::string& worker,
                               const LeaseBatch& batch) -> void {
  const auto address = workers_.AddressOf(worker);
  if (!term_.MayIssueCommands() || !address ||
      !renewing_.insert(worker).second) {
    return;
  }
  std::vector<std::string> leases;
  for (const auto& [lease, owner] : batch) {
    leases.push_back(lease);
    NotifyGang(owner.job, gang::RenewalSent{owner.member});
  }
  port_.Renew(*address, term_.number(), leases, node_.settings().lease_ttl_ms,
              [this, worker, batch](const platform::RenewResult& result) {
                renewing_.erase(worker);
                workers_.RecordRenewal(worker, result.has_value());
                OnRenewed(batch, result);
              });
}

auto GangRunner::OnRenewed(const LeaseBatch& batch,
                           const platform::RenewResult& result) -> void {
  if (!result) {
    return;
  }
  for (const auto& [lease, owner] : batch) {
    const auto found = gangs_.find(owner.job);
    if (found == gangs_.end() ||
        found->second.job().members[owner.member].lease != lease) {
      continue;
    }
    const auto report = result->find(lease);
    NotifyGang(owner.job,
               gang::MemberReported{owner.member, report == result->end()
                                                      ? platform::LeaseReport{}
                                                      : report->second});
  }
}

auto GangRunner::RenewForHolder() -> void {
  LeaseBatches batches;
  for (const auto& id : cell().placed()) {
    const auto& job = *cell().FindJob(id);
    if (broken_jobs_.contains(id) || job.cancel_requested) {
      continue;
    }
    for (std::size_t i = 0; i < job.members.size(); ++i) {
      batches[job.members[i].worker][job.members[i].lease] = {id, i};
    }
  }
  for (const auto& [worker, batch] : batches) {
    const auto address = workers_.AddressOf(worker);
    if (!address || !renewing_.insert(worker).second) {
      continue;
    }
    std::vector<std::string> leases;
    for (const auto& [lease, owner] : batch) {
      leases.push_back(lease);
    }
    port_.Renew(
        *address, term_.number(), leases, node_.settings().lease_ttl_ms,
        [this, worker = worker,
         batch = batch](const platform::RenewResult& result) {
          renewing_.erase(worker);
          if (!result) {
            return;
          }
          for (const auto& [lease, owner] : batch) {
            const auto report = result->find(lease);
            if (report == result->end() ||
                report->second.state == platform::LeaseState::kUnknown) {
              // A gang without one of its members cannot run.
              broken_jobs_.insert(owner.job);
            }
          }
        });
  }
}

}  // namespace kcm::scheduler
