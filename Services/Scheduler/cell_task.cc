#include "cell_task.h"

#include <algorithm>
#include <utility>

#include "LibCore/clock.h"
#include "LibCore/event.h"
#include "LibCore/identity.h"
#include "LibMember/term_policy.h"
#include "LibSchedule/placement.h"

namespace kcm::scheduler {

namespace {

constexpr core::Millis kTickPeriod = 100;
constexpr core::Millis kWatchPeriod = 500;
constexpr core::Millis kLeaseTtl = 5000;
constexpr core::Millis kAppendTimeout = 5000;
/// Silence of one member after which its gang counts as broken.
constexpr core::Millis kMemberSilence = 6000;

}  // namespace

/// A gang that is taking its leases.
struct CellTask::Assembly {
  std::string job;
  std::int64_t attempt = 0;
  std::int64_t term = 0;
  std::vector<state::Member> members;
  std::size_t open = 0;
  bool refused = false;
};

CellTask::CellTask(node::Node& node,
                   node::Heartbeats& heartbeats,
                   WorkerDirectory& workers,
                   std::string data_centre)
    : node_(node),
      heartbeats_(heartbeats),
      workers_(workers),
      port_(node.http()),
      data_centre_(std::move(data_centre)),
      stream_(state::JobStreamOf(data_centre_)),
      settled_since_(core::MonotonicNow()) {
  node.loop().Every(kTickPeriod, [this] { Tick(); });
  node.loop().Every(kWatchPeriod, [this] { Watch(); });
}

auto CellTask::cell() const -> const state::CellFold& {
  return *node_.log().world().FindCell(data_centre_);
}

auto CellTask::Leads() const -> bool {
  return !resigned_ && cell().term().holder == node_.self();
}

auto CellTask::TermNumber() const -> std::int64_t {
  return cell().term().number;
}

auto CellTask::Tick() -> void {
  ConsiderClaim();
  if (Leads()) {
    Place();
  } else {
    gangs_.clear();
  }
}

auto CellTask::ConsiderClaim() -> void {
  if (resigned_ || claiming_) {
    return;
  }
  member::ClaimView view;
  view.self = node_.self();
  view.holder = cell().term().holder;
  view.holder_alive = heartbeats_.IsAlive(view.holder);
  view.settled_ms = core::MonotonicNow() - settled_since_;
  view.candidates.push_back({node_.self(), true});
  for (const auto& peer : node_.settings().peers) {
    const auto name = node::BusNameOf(peer.name, node::Role::kScheduler);
    if (peer.region == node_.settings().region && name != node_.self()) {
      view.candidates.push_back({name, heartbeats_.IsAlive(name)});
    }
  }
  std::sort(view.candidates.begin(), view.candidates.end(),
            [](const auto& left, const auto& right) {
              return left.name < right.name;
            });
  if (!member::ShouldClaim(view)) {
    return;
  }
  claiming_ = true;
  const state::Term claim{TermNumber() + 1, node_.self()};
  Append(state::RecordKind::kTermClaimed, claim,
         [this, claim](const state::Verdict& verdict) {
           claiming_ = false;
           if (verdict.accepted) {
             core::LogEvent(
                 core::Event::kTermClaimed,
                 {{"data_centre", data_centre_}, {"term", claim.number}});
           }
         });
}

auto CellTask::Place() -> void {
  schedule::FleetModel fleet(node_.log().world().table().fleet(), data_centre_);
  for (const auto& [id, worker] : fleet.workers()) {
    fleet.SetUsable(id, workers_.IsUsable(id));
  }
  for (const auto& [id, job] : cell().jobs()) {
    if (!state::IsEnded(job.status)) {
      for (const auto& member : job.members) {
        fleet.Take(member, job.spec.shape);
      }
    }
  }
  if (!assembling_.empty()) {
    return;
  }
  for (const auto& [id, job] : cell().jobs()) {
    if (job.status != state::JobStatus::kAccepted) {
      continue;
    }
    if (auto members = schedule::FindPlacement(fleet, job.spec.shape)) {
      Assemble(job, std::move(*members));
      return;
    }
  }
}

auto CellTask::Assemble(const state::Job& job,
                        std::vector<state::Member> members) -> void {
  auto assembly = std::make_shared<Assembly>();
  assembly->job = job.id;
  assembly->attempt = job.attempt + 1;
  assembly->term = TermNumber();
  assembly->members = std::move(members);
  assembly->open = assembly->members.size();
  assembling_.insert(job.id);
  for (auto& member : assembly->members) {
    member.lease = core::MakeId("lease");
    platform::LeaseRequest request;
    request.lease = member.lease;
    request.job = job.id;
    request.attempt = assembly->attempt;
    request.term = assembly->term;
    request.accelerators = member.accelerators;
    request.cores = job.spec.shape.cores;
    request.memory_mb = job.spec.shape.memory_mb;
    request.ttl_ms = kLeaseTtl;
    const auto worker = member.worker;
    port_.Acquire(workers_.AddressOf(worker).value_or(core::Address{}), request,
                  [this, assembly, worker](platform::CommandOutcome outcome) {
                    if (outcome != platform::CommandOutcome::kDone) {
                      core::LogEvent(
                          core::Event::kLeaseRefused,
                          {{"worker", worker}, {"job", assembly->job}});
                      assembly->refused = true;
                    }
                    if (--assembly->open == 0) {
                      OnLeases(assembly);
                    }
                  });
  }
}

auto CellTask::OnLeases(const std::shared_ptr<Assembly>& assembly) -> void {
  if (assembly->refused || !Leads() || TermNumber() != assembly->term) {
    Release(assembly->members);
    assembling_.erase(assembly->job);
    return;
  }
  Append(state::RecordKind::kJobPlaced,
         {{"job", assembly->job},
          {"attempt", assembly->attempt},
          {"term", assembly->term},
          {"members", assembly->members}},
         [this, assembly](const state::Verdict& verdict) {
           OnPlaced(assembly, verdict);
         });
}

auto CellTask::OnPlaced(const std::shared_ptr<Assembly>& assembly,
                        const state::Verdict& verdict) -> void {
  assembling_.erase(assembly->job);
  if (!verdict.accepted) {
    Release(assembly->members);
    return;
  }
  core::LogEvent(core::Event::kJobPlaced,
                 {{"job", assembly->job},
                  {"rack", assembly->members.front().rack},
                  {"members", assembly->members.size()}});
  Watch();
}

auto CellTask::Release(const std::vector<state::Member>& members) -> void {
  for (const auto& member : members) {
    if (const auto address = workers_.AddressOf(member.worker)) {
      port_.Command(*address, member.lease, TermNumber(),
                    platform::LeaseCommand::kStop, {},
                    [](platform::CommandOutcome /*outcome*/) {});
    }
  }
}

auto CellTask::Watch() -> void {
  if (!Leads()) {
    return;
  }
  for (const auto& [id, job] : cell().jobs()) {
    if (job.status == state::JobStatus::kPlaced) {
      WatchGang(job);
    }
  }
}

auto CellTask::WatchGang(const state::Job& job) -> void {
  auto& gang = gangs_[job.id];
  if (gang.attempt != job.attempt) {
    gang = {};
    gang.attempt = job.attempt;
    for (const auto& member : job.members) {
      gang.heard_at[member.lease] = core::MonotonicNow();
    }
  }
  for (const auto& member : job.members) {
    const auto address = workers_.AddressOf(member.worker);
    if (!address || !gang.renewing.insert(member.lease).second) {
      continue;
    }
    port_.Renew(*address, TermNumber(), {member.lease}, kLeaseTtl,
                [this, id = job.id, attempt = job.attempt,
                 lease = member.lease](const platform::RenewResult& result) {
                  OnRenewed(id, attempt, lease, result);
                });
  }
  Judge(job.id);
}

auto CellTask::OnRenewed(const std::string& id,
                         std::int64_t attempt,
                         const std::string& lease,
                         const platform::RenewResult& result) -> void {
  const auto found = gangs_.find(id);
  if (found == gangs_.end() || found->second.attempt != attempt) {
    return;
  }
  auto& gang = found->second;
  gang.renewing.erase(lease);
  if (!result) {
    return;
  }
  const auto report = result->find(lease);
  gang.heard_at[lease] = core::MonotonicNow();
  gang.reports[lease] =
      report == result->end() ? platform::LeaseReport{} : report->second;
  Judge(id);
}

auto CellTask::Judge(const std::string& id) -> void {
  const auto* job = cell().FindJob(id);
  auto& gang = gangs_[id];
  if (job == nullptr || gang.ending || !Leads() ||
      job->attempt != gang.attempt) {
    return;
  }
  if (job->cancel_requested) {
    StopGang(*job);
    End(*job, state::JobStatus::kCancelled, "cancelled by caller");
    return;
  }
  std::size_t held = 0;
  std::size_t done = 0;
  for (const auto& member : job->members) {
    const auto report = gang.reports.find(member.lease);
    const auto silence = core::MonotonicNow() - gang.heard_at[member.lease];
    const auto state = report == gang.reports.end()
                           ? platform::LeaseState::kHeld
                           : report->second.state;
    if (silence > kMemberSilence || state == platform::LeaseState::kUnknown ||
        state == platform::LeaseState::kStopped) {
      core::LogEvent(core::Event::kGangBroken,
                     {{"job", id}, {"worker", member.worker}});
      StopGang(*job);
      End(*job, state::JobStatus::kLost,
          "worker " + member.worker + " lost its lease");
      return;
    }
    if (state == platform::LeaseState::kFailed) {
      StopGang(*job);
      End(*job, state::JobStatus::kFailed,
          "the task failed on worker " + member.worker);
      return;
    }
    held += report != gang.reports.end() && state == platform::LeaseState::kHeld
                ? 1
                : 0;
    done += state == platform::LeaseState::kDone ? 1 : 0;
  }
  if (done == job->members.size()) {
    End(*job, state::JobStatus::kDone, "");
    return;
  }
  if (held == 0 || gang.reports.size() < job->members.size()) {
    return;
  }
  for (const auto& member : job->members) {
    if (gang.reports[member.lease].state != platform::LeaseState::kHeld) {
      continue;
    }
    if (const auto address = workers_.AddressOf(member.worker)) {
      port_.Command(*address, member.lease, TermNumber(),
                    platform::LeaseCommand::kStart, job->spec.task,
                    [](platform::CommandOutcome /*outcome*/) {});
    }
  }
}

auto CellTask::StopGang(const state::Job& job) -> void {
  Release(job.members);
}

auto CellTask::End(const state::Job& job,
                   state::JobStatus status,
                   const std::string& reason) -> void {
  gangs_[job.id].ending = true;
  Append(state::RecordKind::kJobEnded,
         {{"job", job.id},
          {"attempt", job.attempt},
          {"term", TermNumber()},
          {"status", status},
          {"reason", reason}},
         [this, id = job.id, status](const state::Verdict& verdict) {
           if (!verdict.accepted) {
             gangs_[id].ending = false;
             return;
           }
           gangs_.erase(id);
           core::LogEvent(core::Event::kJobEnded,
                          {{"job", id}, {"status", core::NameOf(status)}});
         });
}

auto CellTask::Append(state::RecordKind kind,
                      core::Json body,
                      node::LogWriter::Done done) -> void {
  node_.writer().Append(stream_,
                        state::MakeRecord(kind, node_.self(), std::move(body)),
                        core::MonotonicNow() + kAppendTimeout, std::move(done));
}

}  // namespace kcm::scheduler
