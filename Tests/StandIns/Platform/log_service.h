#pragma once

#include <deque>
#include <map>
#include <string>
#include <vector>

#include "LibNet/event_loop.h"
#include "LibNet/http_server.h"

namespace kcm::standin {

/// Stand-in for the platform's log service, with the faults it may have.
class LogService {
 public:
  explicit LogService(net::EventLoop& loop) : loop_(loop) {}

  /// Serves POST and GET /v1/streams/NAME/records.
  auto Serve(const net::HttpRequest& request, const net::HttpReply& reply)
      -> void;

  /// Takes faults from POST /control/log; see the member names of `Faults`.
  auto Control(const core::Json& settings) -> void;

  /// @return counts of appends, records and reads by stream.
  [[nodiscard]] auto Counters() const -> core::Json;

 private:
  struct Faults {
    bool down = false;
    /// Appends that take effect but whose answer is never sent.
    int lose_answers = 0;
    core::Millis delay_ms = 0;
    /// Records kept in each stream; zero keeps all.
    std::size_t retention = 0;
    /// Appends a second; zero for no limit.
    int appends_per_s = 0;
  };
  struct Waiter {
    std::int64_t from = 0;
    std::size_t limit = 0;
    net::HttpReply reply;
    std::int64_t id = 0;
  };
  struct Stream {
    std::int64_t first_offset = 0;
    std::deque<core::Json> records;
    std::vector<Waiter> waiters;
    std::int64_t appends = 0;
    std::int64_t reads = 0;
  };

  auto Append(Stream& stream,
              const net::HttpRequest& request,
              const net::HttpReply& reply) -> void;
  auto Read(const std::string& name,
            const net::HttpRequest& request,
            const net::HttpReply& reply) -> void;
  auto AnswerRead(const Stream& stream,
                  std::int64_t from,
                  std::size_t limit,
                  const net::HttpReply& reply) const -> void;
  auto Wake(Stream& stream) -> void;
  auto OverRate() -> bool;

  net::EventLoop& loop_;
  Faults faults_;
  std::map<std::string, Stream> streams_;
  std::int64_t next_waiter_ = 0;
  core::Millis window_start_ = 0;
  int window_appends_ = 0;
};

}  // namespace kcm::standin
