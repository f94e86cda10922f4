#include "gang_runner.h"

#include <utility>

#include "LibCore/clock.h"
#include "LibCore/event.h"
#include "LibCore/identity.h"

namespace kcm::scheduler {

namespace {

constexpr core::Millis kAppendTimeout = 5000;

auto IsPlacedAs(const state::Job* present, const state::Job& job) -> bool {
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
      failed_(std::move(failed)) {}

auto GangRunner::cell() const -> const state::CellFold& {
  return *node_.log().world().FindCell(data_centre_);
}

auto GangRunner::Settings() const -> gang::GangSettings {
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
      job.id, gang::Gang::Assemble(placed, Settings(), core::MonotonicNow()));
  for (std::size_t i = 0; i < placed.members.size(); ++i) {
    Acquire(placed, i);
  }
}

auto GangRunner::Acquire(const state::Job& job, std::size_t index) -> void {
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
          workers_.SetAside(worker);
        }
        NotifyAttempt(id, attempt, gang::LeaseAnswered{index, outcome});
      });
}

auto GangRunner::Adopt(const state::Job& job) -> void {
  if (!gangs_.contains(job.id)) {
    gangs_.insert_or_assign(
        job.id, gang::Gang::Adopt(job, Settings(), core::MonotonicNow()));
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
    Notify(job, gang::CancelRequested{});
    return;
  }
  gangs_.erase(found);
}

auto GangRunner::Forget(const std::string& job) -> void {
  gangs_.erase(job);
}

auto GangRunner::Notify(const std::string& job, const gang::GangEvent& event)
    -> void {
  const auto found = gangs_.find(job);
  if (found != gangs_.end()) {
    Perform(job, found->second.Apply(event, core::MonotonicNow()));
  }
}

auto GangRunner::NotifyAttempt(const std::string& job,
                               std::int64_t attempt,
                               const gang::GangEvent& event) -> void {
  const auto found = gangs_.find(job);
  if (found != gangs_.end() && found->second.job().attempt == attempt) {
    Notify(job, event);
  }
}

auto GangRunner::Tick() -> void {
  std::vector<std::string> jobs;
  jobs.reserve(gangs_.size());
  for (const auto& [id, gang] : gangs_) {
    jobs.push_back(id);
  }
  for (const auto& id : jobs) {
    Notify(id, gang::TimePassed{});
  }
}

auto GangRunner::Perform(const std::string& job,
                         const gang::GangActions& actions) -> void {
  for (const auto& action : actions) {
    const auto found = gangs_.find(job);
    if (found == gangs_.end()) {
      return;
    }
    const auto copy = found->second.job();
    std::visit([&](const auto& concrete) { Do(copy, concrete); }, action);
  }
}

auto GangRunner::Do(const state::Job& job,
                    const gang::CommitPlacement& /*action*/) -> void {
  const auto record =
      state::MakeRecord(state::RecordKind::kJobPlaced, node_.self(),
                        {{"job", job.id},
                         {"attempt", job.attempt},
                         {"term", term_.number()},
                         {"members", job.members}});
  Record(record, term_.number(), [this, job] {
    const bool placed = IsPlacedAs(cell().FindJob(job.id), job);
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

auto GangRunner::Do(const state::Job& job, const gang::CommandMember& action)
    -> void {
  if (!term_.MayAct()) {
    // The gang repeats a command that was withheld.
    return;
  }
  const auto& member = job.members[action.member];
  if (action.command == platform::LeaseCommand::kStart) {
    Start(job, action.member);
    return;
  }
  if (action.command == platform::LeaseCommand::kStop) {
    Stop(job, action.member);
    return;
  }
  if (const auto address = workers_.AddressOf(member.worker)) {
    port_.Command(*address, member.lease, term_.number(), action.command, {},
                  [](platform::CommandOutcome /*outcome*/) {});
  }
}

auto GangRunner::Start(const state::Job& job, std::size_t index) -> void {
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

auto GangRunner::Stop(const state::Job& job, std::size_t index) -> void {
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
    Stop(job, i);
  }
}

auto GangRunner::Do(const state::Job& job, const gang::RecordEnd& action)
    -> void {
  CloseAttempt(job, state::RecordKind::kJobEnded,
               {{"status", action.status},
                {"reason", action.reason},
                {"worker", action.bad_worker}});
}

auto GangRunner::Do(const state::Job& job, const gang::RecordRequeue& action)
    -> void {
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
  Record(record, term_.number(), [this, job] {
    if (IsPlacedAs(cell().FindJob(job.id), job)) {
      NotifyAttempt(job.id, job.attempt, gang::CloseRefused{});
      return;
    }
    ReleaseLeases(job);
  });
}

auto GangRunner::Do(const state::Job& job,
                    const gang::AbandonAssembly& /*action*/) -> void {
  gangs_.erase(job.id);
  failed_(job.id);
}

auto GangRunner::Record(const state::Record& record,
                        std::int64_t term,
                        const std::function<void()>& settled) -> void {
  node_.writer().Append(
      state::JobStreamOf(data_centre_), record,
      core::MonotonicNow() + kAppendTimeout,
      [this, record, term, settled](const state::Verdict& verdict) {
        if (!term_.Leads() || term_.number() != term) {
          return;
        }
        const auto kind = verdict.reason.kind;
        if (kind == core::ErrorKind::kOutcomeUnknown ||
            kind == core::ErrorKind::kLogDown) {
          // The same id is folded once, however often it is appended.
          Record(record, term, settled);
          return;
        }
        settled();
      });
}

auto GangRunner::Renew() -> void {
  Batches batches;
  for (const auto& [id, gang] : gangs_) {
    Collect(id, gang, batches);
  }
  for (const auto& [worker, batch] : batches) {
    RenewOn(worker, batch);
  }
}

auto GangRunner::RenewGang(const std::string& id) -> void {
  const auto found = gangs_.find(id);
  if (found == gangs_.end()) {
    return;
  }
  Batches batches;
  Collect(id, found->second, batches);
  for (const auto& [worker, batch] : batches) {
    RenewOn(worker, batch);
  }
}

auto GangRunner::Collect(const std::string& id,
                         const gang::Gang& gang,
                         Batches& batches) -> void {
  const auto& members = gang.job().members;
  for (std::size_t i = 0; i < members.size(); ++i) {
    if (gang.WantsRenewal(i)) {
      batches[members[i].worker][members[i].lease] = {id, i};
    }
  }
}

auto GangRunner::RenewOn(const std::string& worker, const Batch& batch)
    -> void {
  const auto address = workers_.AddressOf(worker);
  if (!term_.MayAct() || !address || !renewing_.insert(worker).second) {
    return;
  }
  std::vector<std::string> leases;
  for (const auto& [lease, owner] : batch) {
    leases.push_back(lease);
    Notify(owner.job, gang::RenewalSent{owner.member});
  }
  port_.Renew(*address, term_.number(), leases, node_.settings().lease_ttl_ms,
              [this, worker, batch](const platform::RenewResult& result) {
                renewing_.erase(worker);
                workers_.NoteAnswer(worker, result.has_value());
                OnRenewed(batch, result);
              });
}

auto GangRunner::OnRenewed(const Batch& batch,
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
    Notify(owner.job,
           gang::MemberReported{owner.member, report == result->end()
                                                  ? platform::LeaseReport{}
                                                  : report->second});
  }
}

auto GangRunner::RenewForHolder() -> void {
  Batches batches;
  for (const auto& id : cell().placed()) {
    const auto& job = *cell().FindJob(id);
    if (lapsing_.contains(id) || job.cancel_requested) {
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
              // A gang that lost a member is not kept alive.
              lapsing_.insert(owner.job);
            }
          }
        });
  }
}

}  // namespace kcm::scheduler
