#pragma once

#include <deque>
#include <map>
#include <string>
#include <vector>

#include "LibNet/event_loop.h"
#include "LibNet/http_server.h"

namespace kcm::standin {

/// Stand-in for the platform's log service, with injectable faults.
class LogService {
 public:
  explicit LogService(net::EventLoop& loop) : loop_(loop) {}

  /// Handles POST and GET /v1/streams/NAME/records.
  auto HandleRequest(const net::HttpRequest& request,
                     const net::HttpReply& reply) -> void;

  /// Changes faults as in POST /control/log; members are named as in `Faults`.
  auto SetFaults(const core::Json& settings) -> void;

  /// @return appends, reads and end offset by stream.
  [[nodiscard]] auto Counters() const -> core::Json;

 private:
  struct Faults {
    bool down = false;
    /// Number of next appends that take effect but get no response.
    int lose_answers = 0;
    core::Millis delay_ms = 0;
    /// Records kept in each stream; zero keeps all.
    std::size_t retention = 0;
    /// Appends a second; zero for no limit.
    int appends_per_s = 0;
  };
  struct WaitingRead {
    std::int64_t from = 0;
    std::size_t limit = 0;
    net::HttpReply reply;
    std::int64_t id = 0;
  };
  struct Stream {
    std::int64_t first_offset = 0;
    std::deque<core::Json> records;
    std::vector<WaitingRead> waiting_reads;
    std::int64_t appends = 0;
    std::int64_t reads = 0;
  };

  auto AppendRecords(Stream& stream,
                     const net::HttpRequest& request,
                     const net::HttpReply& reply) -> void;
  auto ReadRecords(const std::string& name,
                   const net::HttpRequest& request,
                   const net::HttpReply& reply) -> void;
  auto SendRecords(const Stream& stream,
                   std::int64_t from,
                   std::size_t limit,
                   const net::HttpReply& reply) const -> void;
  auto AnswerWaitingReads(Stream& stream) -> void;
  auto ExceedsAppendRate() -> bool;

  net::EventLoop& loop_;
  Faults faults_;
  std::map<std::string, Stream> streams_;
  std::int64_t next_read_id_ = 0;
  core::Millis window_start_ = 0;
  int window_appends_ = 0;
};

}  // namespace kcm::standin
