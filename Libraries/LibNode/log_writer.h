#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "LibNet/event_loop.h"
#include "LibNode/log_state.h"
#include "LibPlatform/log_client.h"

namespace kcm::node {

/// Appends records by group commit and reports what the fold decided.
///
/// A record whose append was answered badly or not at all is appended again
/// under the same id; the fold takes it once. The verdict always comes from
/// reading the log back.
class LogWriter {
 public:
  using Done = std::function<void(const state::Verdict&)>;

  LogWriter(net::EventLoop& loop, LogState& log, platform::LogClient& client);

  /// Appends one record.
  /// @param deadline monotonic time after which `done` is told kLogDown when
  ///     the record provably stands nowhere, else kOutcomeUnknown.
  auto Append(const std::string& stream,
              state::Record record,
              core::Millis deadline,
              Done done) -> void;

  /// @return appends sent so far, group commits counting once.
  [[nodiscard]] auto appends() const -> std::int64_t { return appends_; }

 private:
  struct Pending {
    state::Record record;
    core::Millis deadline = 0;
    Done done;
    bool maybe_appended = false;
    /// Appended, or given up, and only waiting to be read back.
    bool in_log = false;
    bool settled = false;
  };
  struct Stream {
    std::deque<std::shared_ptr<Pending>> queue;
    bool in_flight = false;
    bool flush_due = false;
    core::Millis backoff = 0;
  };

  auto ScheduleFlush(const std::string& name, core::Millis delay) -> void;
  auto Flush(const std::string& name) -> void;
  auto OnAppended(const std::string& name,
                  const std::vector<std::shared_ptr<Pending>>& batch,
                  platform::AppendOutcome outcome) -> void;
  auto OnApplied(const AppliedRecord& applied) -> void;
  auto Expire() -> void;
  auto Settle(const std::shared_ptr<Pending>& pending,
              const state::Verdict& verdict) -> void;

  net::EventLoop& loop_;
  platform::LogClient& client_;
  std::map<std::string, Stream> streams_;
  /// Unsettled records by id.
  std::map<std::string, std::shared_ptr<Pending>> unsettled_;
  std::int64_t appends_ = 0;
};

}  // namespace kcm::node
