#pragma once

#include <string>

#include "LibNet/event_loop.h"
#include "LibNet/http_server.h"

namespace kcm::standin {

/// Stand-in for a minion with a limited number of slots and injectable faults.
class Minion {
 public:
  Minion(net::EventLoop& loop,
         std::string id,
         int slots,
         core::Millis work_ms,
         std::string journal);

  auto HandleRequest(const net::HttpRequest& request,
                     const net::HttpReply& reply) -> void;

 private:
  struct Faults {
    bool leaving = false;
    bool failing = false;
    core::Millis slow_ms = 0;
    /// Responses carry the id of the previous request.
    bool crossed = false;
  };

  auto RunRequest(const net::HttpRequest& request, const net::HttpReply& reply)
      -> void;
  auto FinishRequest(const net::HttpRequest& request,
                     const net::HttpReply& reply) -> void;

  net::EventLoop& loop_;
  std::string id_;
  int slots_;
  core::Millis work_ms_;
  std::string journal_;
  Faults faults_;
  int busy_slots_ = 0;
  int peak_busy_slots_ = 0;
  std::int64_t runs_ = 0;
  std::int64_t refusals_ = 0;
  std::string last_request_id_;
};

}  // namespace kcm::standin
