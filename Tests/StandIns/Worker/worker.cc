#include "worker.h"

#include <algorithm>
#include <fstream>
#include <utility>

#include "../Common/run_standin.h"
#include "LibCore/clock.h"
#include "LibNet/http_status.h"

namespace kcm::standin {

namespace {

constexpr core::Millis kExpirePeriod = 50;
constexpr core::Millis kDefaultTtl = 5000;
constexpr core::Millis kDefaultRun = 1000;

auto IsActive(const std::string& state) -> bool {
  return state == "held" || state == "running" || state == "throttled";
}

}  // namespace

Worker::Worker(net::EventLoop& loop,
               std::string id,
               std::int64_t accelerators,
               std::string journal)
    : loop_(loop),
      id_(std::move(id)),
      accelerators_(accelerators),
      journal_(std::move(journal)) {
  loop_.Every(kExpirePeriod, [this] { ExpireLeases(); });
}

auto Worker::HandleRequest(const net::HttpRequest& request,
                           const net::HttpReply& reply) -> void {
  // A worker that was suspended must not renew leases that have expired.
  ExpireLeases();
  const auto body = ParseBody(request);
  const auto& path = request.path;
  constexpr std::string_view kLeases = "/v1/leases/";
  if (path == "/v1/leases") {
    AcquireLease(body, reply);
  } else if (path == "/v1/renew") {
    RenewLeases(body, reply);
  } else if (path == "/v1/usage") {
    SendUsage(reply);
  } else if (path.starts_with(kLeases)) {
    const auto rest = path.substr(kLeases.size());
    const auto slash = rest.find('/');
    HandleLeaseCommand(rest.substr(0, slash), rest.substr(slash + 1), body,
                       reply);
  } else if (path == "/control") {
    faults_.refuse_leases = body.value("refuse_leases", faults_.refuse_leases);
    faults_.ignore_throttle =
        body.value("ignore_throttle", faults_.ignore_throttle);
    faults_.ignore_checkpoint =
        body.value("ignore_checkpoint", faults_.ignore_checkpoint);
    faults_.fail_tasks = body.value("fail_tasks", faults_.fail_tasks);
    faults_.usage_lag_ms = body.value("usage_lag_ms", faults_.usage_lag_ms);
    reply.SendJson(net::kHttpOk, core::Json::object());
  } else {
    reply.SendJson(net::kHttpNotFound, core::Json::object());
  }
}

auto Worker::RejectIfFenced(const core::Json& body, const net::HttpReply& reply)
    -> bool {
  const auto term = body.value("term", std::int64_t{0});
  if (term < highest_term_) {
    reply.SendJson(net::kHttpConflict, {{"error", "fenced"}});
    return true;
  }
  highest_term_ = term;
  return false;
}

auto Worker::AcquireLease(const core::Json& body, const net::HttpReply& reply)
    -> void {
  if (RejectIfFenced(body, reply)) {
    return;
  }
  const auto id = body.value("lease", "");
  Lease lease;
  lease.job = body.value("job", "");
  lease.attempt = body.value("attempt", std::int64_t{0});
  lease.accelerators = body.value("accelerators", std::vector<std::int64_t>{});
  lease.expires_at = core::MonotonicNow() + body.value("ttl_ms", kDefaultTtl);
  bool taken = faults_.refuse_leases || ended_.contains(id);
  for (const auto& [other_id, other] : leases_) {
    for (const auto index : lease.accelerators) {
      const auto& used = other.accelerators;
      taken =
          taken || (IsActive(other.state) &&
                    std::find(used.begin(), used.end(), index) != used.end());
    }
  }
  for (const auto index : lease.accelerators) {
    taken = taken || index < 0 || index >= accelerators_;
  }
  if (taken) {
    reply.SendJson(net::kHttpConflict, {{"error", "taken"}});
    return;
  }
  leases_[id] = std::move(lease);
  reply.SendJson(net::kHttpOk, core::Json::object());
}

auto Worker::RenewLeases(const core::Json& body, const net::HttpReply& reply)
    -> void {
  if (RejectIfFenced(body, reply)) {
    return;
  }
  core::Json reports = core::Json::object();
  for (const auto& id : body.value("leases", std::vector<std::string>{})) {
    const auto found = leases_.find(id);
    if (found == leases_.end()) {
      reports[id] = {{"state", "unknown"}};
      continue;
    }
    auto& lease = found->second;
    lease.expires_at = core::MonotonicNow() + body.value("ttl_ms", kDefaultTtl);
    reports[id] = {{"state", lease.state}, {"checkpoint", lease.checkpoint}};
  }
  reply.SendJson(net::kHttpOk, {{"leases", reports}});
}

auto Worker::HandleLeaseCommand(const std::string& id,
                                const std::string& command,
                                const core::Json& body,
                                const net::HttpReply& reply) -> void {
  if (RejectIfFenced(body, reply)) {
    return;
  }
  const auto found = leases_.find(id);
  if (found == leases_.end()) {
    ended_.insert(id);
    reply.SendJson(net::kHttpNotFound, {{"error", "no such lease"}});
    return;
  }
  auto& lease = found->second;
  if (command == "start") {
    StartTask(id, lease, body.value("task", core::Json::object()));
  } else if (command == "throttle" && !faults_.ignore_throttle &&
             lease.state == "running") {
    lease.state = "throttled";
  } else if (command == "checkpoint" && !faults_.ignore_checkpoint &&
             IsActive(lease.state)) {
    const auto ran = core::MonotonicNow() - lease.resumed_at;
    const auto remaining = std::max<core::Millis>(lease.remaining_ms - ran, 0);
    lease.checkpoint = "remaining_ms=" + std::to_string(remaining);
    lease.state = "checkpointed";
    ++lease.run;
    WriteJournal("checkpointed", lease);
  } else if (command == "stop") {
    if (IsActive(lease.state)) {
      WriteJournal("stopped", lease);
    }
    ++lease.run;
    ended_.insert(id);
    leases_.erase(found);
  }
  reply.SendJson(net::kHttpOk, core::Json::object());
}

auto Worker::StartTask(const std::string& id,
                       Lease& lease,
                       const core::Json& task) -> void {
  if (lease.state != "held") {
    return;
  }
  lease.state = "running";
  lease.remaining_ms = task.value("run_ms", kDefaultRun);
  const auto checkpoint = task.value("checkpoint", "");
  constexpr std::string_view kPrefix = "remaining_ms=";
  if (checkpoint.starts_with(kPrefix)) {
    lease.remaining_ms = std::stoll(checkpoint.substr(kPrefix.size()));
  }
  lease.resumed_at = core::MonotonicNow();
  WriteJournal("started", lease);
  const auto run = ++lease.run;
  const bool fails = faults_.fail_tasks || task.value("fail", false);
  loop_.After(lease.remaining_ms, [this, id, run, fails] {
    const auto found = leases_.find(id);
    if (found == leases_.end() || found->second.run != run) {
      return;
    }
    found->second.state = fails ? "failed" : "done";
    WriteJournal(found->second.state, found->second);
  });
}

auto Worker::SendUsage(const net::HttpReply& reply) -> void {
  core::Json used = core::Json::array();
  for (const auto& [id, lease] : leases_) {
    if (IsActive(lease.state)) {
      used.push_back({{"lease", id},
                      {"job", lease.job},
                      {"state", lease.state},
                      {"accelerators", lease.accelerators}});
    }
  }
  const core::Json usage = {{"worker", id_}, {"leases", used}};
  loop_.After(faults_.usage_lag_ms,
              [usage, reply] { reply.SendJson(net::kHttpOk, usage); });
}

auto Worker::ExpireLeases() -> void {
  const auto now = core::MonotonicNow();
  std::erase_if(leases_, [&](const auto& entry) {
    const auto& [id, lease] = entry;
    if (now < lease.expires_at) {
      return false;
    }
    if (IsActive(lease.state)) {
      WriteJournal("lapsed", lease);
    }
    ended_.insert(id);
    return true;
  });
}

auto Worker::WriteJournal(const std::string& event, const Lease& lease)
    -> void {
  if (journal_.empty()) {
    return;
  }
  std::ofstream file(journal_, std::ios::app);
  file << core::Json{{"at_ms", core::MonotonicNow()},
                     {"worker", id_},
                     {"event", event},
                     {"job", lease.job},
                     {"attempt", lease.attempt},
                     {"accelerators", lease.accelerators}}
              .dump()
       << "\n";
}

}  // namespace kcm::standin
