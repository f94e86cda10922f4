#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "LibNet/event_loop.h"
#include "LibNode/log_state.h"
#include "LibPlatform/log_client.h"

namespace kcm::node {

/// What a writer does with a record that the log refused, as long as the
/// record provably stands nowhere.
enum class OnRefused : std::uint8_t {
  /// Appends it again until the deadline.
  kRetry,
  /// Tells kLogDown at once.
  kSettle,
};

/// Appends records by group commit and reports what the fold decided.
///
/// A record whose append was answered badly or not at all is appended again
/// under the same id; the fold takes it once. The verdict always comes from
/// reading the log back.
class LogWriter {
 public:
  using Done = std::function<void(const state::Verdict&)>;

  /// @param self name of the process; spreads its retries from those of others.
  LogWriter(net::EventLoop& loop,
            LogState& log,
            platform::LogClient& client,
            std::string self);

  /// Appends one record.
  /// @param deadline monotonic time after which `done` is told kLogDown when
  ///     the record provably stands nowhere, else kOutcomeUnknown.
  /// @param on_refused whether a refusal ends the append before the deadline.
  auto Append(const std::string& stream,
              state::Record record,
              core::Millis deadline,
              Done done,
              OnRefused on_refused = OnRefused::kRetry) -> void;

  /// @return appends sent so far, group commits counting once.
  [[nodiscard]] auto appends() const -> std::int64_t { return appends_; }

 private:
  struct Pending {
    state::Record record;
    core::Millis deadline = 0;
    Done done;
    OnRefused on_refused = OnRefused::kRetry;
    /// Whether an append of it was sent and not answered yet.
    bool sending = false;
    /// Whether it may stand in the log.
    bool maybe_appended = false;
    bool settled = false;
  };
  using Batch = std::vector<std::shared_ptr<Pending>>;
  struct Stream {
    std::deque<std::shared_ptr<Pending>> queue;
    bool in_flight = false;
    bool flush_due = false;
    core::Millis sent_at = 0;
    core::Millis backoff = 0;
  };

  auto ScheduleFlush(const std::string& name, core::Millis delay) -> void;
  auto Flush(const std::string& name) -> void;
  auto TakeBatch(Stream& stream) -> Batch;
  auto OnAppended(const std::string& name,
                  const Batch& batch,
                  platform::AppendOutcome outcome) -> void;
  auto Requeue(Stream& stream, const Batch& batch) -> void;
  /// Settles what waits and provably stands nowhere.
  auto SettleRefused(Stream& stream) -> void;
  auto NextBackoff(const std::string& name) -> core::Millis;
  auto OnApplied(const AppliedRecord& applied) -> void;
  auto Expire() -> void;
  auto Settle(const std::shared_ptr<Pending>& pending,
              const state::Verdict& verdict) -> void;

  net::EventLoop& loop_;
  platform::LogClient& client_;
  std::string self_;
  std::map<std::string, Stream> streams_;
  /// Unsettled records by id.
  std::map<std::string, std::shared_ptr<Pending>> unsettled_;
  std::int64_t appends_ = 0;
};

}  // namespace kcm::node
