#pragma once

#include <string>

#include "LibNet/event_loop.h"
#include "LibNet/http_server.h"

namespace kcm::standin {

/// Stand-in for a minion: a number of slots, and the ways it may misbehave.
class Minion {
 public:
  Minion(net::EventLoop& loop,
         std::string id,
         int slots,
         core::Millis work_ms,
         std::string journal);

  auto Serve(const net::HttpRequest& request, const net::HttpReply& reply)
      -> void;

 private:
  struct Faults {
    bool leaving = false;
    bool failing = false;
    core::Millis slow_ms = 0;
    /// Answers carry the id of the request before.
    bool crossed = false;
  };

  auto Work(const net::HttpRequest& request, const net::HttpReply& reply)
      -> void;
  auto Finish(const net::HttpRequest& request, const net::HttpReply& reply)
      -> void;

  net::EventLoop& loop_;
  std::string id_;
  int slots_;
  core::Millis work_ms_;
  std::string journal_;
  Faults faults_;
  int busy_ = 0;
  int peak_ = 0;
  std::int64_t runs_ = 0;
  std::int64_t refusals_ = 0;
  std::string last_request_id_;
};

}  // namespace kcm::standin
