#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "LibNet/event_loop.h"
#include "LibNet/http_server.h"

namespace kcm::standin {

/// Stand-in for a worker: leases with fencing tokens; tasks are timers.
class Worker {
 public:
  Worker(net::EventLoop& loop,
         std::string id,
         std::int64_t accelerators,
         std::string journal);

  auto HandleRequest(const net::HttpRequest& request,
                     const net::HttpReply& reply) -> void;

 private:
  struct Lease {
    std::string job;
    std::int64_t attempt = 0;
    std::vector<std::int64_t> accelerators;
    std::string state = "held";
    std::string checkpoint;
    core::Millis expires_at = 0;
    core::Millis remaining_ms = 0;
    core::Millis resumed_at = 0;
    std::int64_t run = 0;
  };
  struct Faults {
    bool refuse_leases = false;
    bool ignore_throttle = false;
    bool ignore_checkpoint = false;
    bool fail_tasks = false;
    core::Millis usage_lag_ms = 0;
  };

  auto AcquireLease(const core::Json& body, const net::HttpReply& reply)
      -> void;
  auto RenewLeases(const core::Json& body, const net::HttpReply& reply) -> void;
  auto HandleLeaseCommand(const std::string& lease,
                          const std::string& command,
                          const core::Json& body,
                          const net::HttpReply& reply) -> void;
  auto SendUsage(const net::HttpReply& reply) -> void;
  auto StartTask(const std::string& id, Lease& lease, const core::Json& task)
      -> void;
  auto RejectIfFenced(const core::Json& body, const net::HttpReply& reply)
      -> bool;
  auto ExpireLeases() -> void;
  auto WriteJournal(const std::string& event, const Lease& lease) -> void;

  net::EventLoop& loop_;
  std::string id_;
  std::int64_t accelerators_;
  std::string journal_;
  std::int64_t highest_term_ = 0;
  Faults faults_;
  std::map<std::string, Lease> leases_;
  /// Ids of ended leases; a delayed request to acquire one is refused.
  std::set<std::string> ended_;
};

}  // namespace kcm::standin
