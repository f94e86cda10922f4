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

/// What happens to a record whose append was refused and that is certainly not
/// in the log.
enum class RefusalPolicy : std::uint8_t {
  /// Appends it again until the deadline.
  kRetry,
  /// Reports kLogDown at once.
  kFailFast,
};

/// Appends records by group commit and reports the result of each: whether it
/// took effect on the state when it was read back and applied.
///
/// A record whose append failed or was not answered is appended again under the
/// same id; the fold, the deterministic reducer of a stream, applies it once. A
/// result other than kLogDown and kOutcomeUnknown always comes from reading the
/// record back from the log.
class LogWriter {
 public:
  /// Receives the result of the fold, or a rejection with kLogDown or
  /// kOutcomeUnknown when there was none in time.
  using Done = std::function<void(const state::ApplyResult&)>;

  /// @param self name of the process; seeds the jitter of its retries.
  LogWriter(net::EventLoop& loop,
            LogState& log,
            platform::LogClient& client,
            std::string self);

  /// Appends one record.
  /// @param deadline monotonic time after which `done` receives kLogDown when
  ///     the record is certainly not in the log, else kOutcomeUnknown.
  /// @param refusal_policy whether a refusal ends the append early.
  auto Append(const std::string& stream,
              state::Record record,
              core::Millis deadline,
              Done done,
              RefusalPolicy refusal_policy = RefusalPolicy::kRetry) -> void;

  /// @return appends sent so far; a group commit counts once.
  [[nodiscard]] auto appends() const -> std::int64_t { return appends_; }

 private:
  struct Pending {
    state::Record record;
    core::Millis deadline = 0;
    Done done;
    RefusalPolicy refusal_policy = RefusalPolicy::kRetry;
    /// Whether an append of it is in flight.
    bool sending = false;
    /// Whether it may be in the log.
    bool may_be_appended = false;
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
  auto PopBatch(Stream& stream) -> Batch;
  auto OnAppended(const std::string& name,
                  const Batch& batch,
                  platform::AppendOutcome outcome) -> void;
  auto Requeue(Stream& stream, const Batch& batch) -> void;
  /// Reports kLogDown for queued records with the policy kFailFast that are
  /// certainly not in the log.
  auto SettleRefused(Stream& stream) -> void;
  auto NextBackoff(const std::string& name) -> core::Millis;
  auto OnApplied(const AppliedRecord& applied) -> void;
  auto SettleExpired() -> void;
  auto Settle(const std::shared_ptr<Pending>& pending,
              const state::ApplyResult& result) -> void;

  net::EventLoop& loop_;
  platform::LogClient& client_;
  std::string self_;
  std::map<std::string, Stream> streams_;
  /// Unsettled records by id.
  std::map<std::string, std::shared_ptr<Pending>> unsettled_;
  std::int64_t appends_ = 0;
};

}  // namespace kcm::node
