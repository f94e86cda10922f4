#include "LibNode/log_writer.h"

#include <algorithm>
#include <utility>

#include "LibCore/clock.h"
#include "LibCore/stable_hash.h"

namespace kcm::node {

namespace {

/// Time to gather records for a group commit.
constexpr core::Millis kBatchDelayMs = 5;
/// Least time between appends to one stream: the budget of a process.
constexpr core::Millis kMinAppendIntervalMs = 25;
constexpr core::Millis kMinBackoffMs = 50;
constexpr core::Millis kMaxBackoffMs = 1000;
constexpr core::Millis kExpiryPeriodMs = 50;
constexpr std::size_t kMaxBatchRecords = 256;

auto NotRecordedResult() -> state::ApplyResult {
  return state::ApplyResult::Reject(core::ErrorKind::kLogDown, "log",
                                    "The log is down; nothing was recorded.");
}

auto OutcomeUnknownResult() -> state::ApplyResult {
  return state::ApplyResult::Reject(
      core::ErrorKind::kOutcomeUnknown, "log",
      "The log did not confirm the record in time; "
      "it may still take effect.");
}

}  // namespace

LogWriter::LogWriter(net::EventLoop& loop,
                     LogState& log,
                     platform::LogClient& client,
                     std::string self)
    : loop_(loop), client_(client), self_(std::move(self)) {
  log.OnApplied([this](const AppliedRecord& applied) { OnApplied(applied); });
  loop.Every(kExpiryPeriodMs, [this] { SettleExpired(); });
}

auto LogWriter::Append(const std::string& stream,
                       state::Record record,
                       core::Millis deadline,
                       Done done,
                       RefusalPolicy refusal_policy) -> void {
  auto pending = std::make_shared<Pending>();
  pending->record = std::move(record);
  pending->deadline = deadline;
  pending->done = std::move(done);
  pending->refusal_policy = refusal_policy;
  unsettled_[pending->record.id] = pending;
  streams_[stream].queue.push_back(std::move(pending));
  ScheduleFlush(stream, kBatchDelayMs);
}

auto LogWriter::ScheduleFlush(const std::string& name, core::Millis delay)
    -> void {
  auto& stream = streams_[name];
  if (std::exchange(stream.flush_due, true)) {
    return;
  }
  const auto earliest =
      stream.sent_at + kMinAppendIntervalMs - core::MonotonicNow();
  loop_.After(std::max(delay, earliest), [this, name] {
    streams_[name].flush_due = false;
    Flush(name);
  });
}

auto LogWriter::Flush(const std::string& name) -> void {
  auto& stream = streams_[name];
  if (stream.in_flight) {
    return;
  }
  const auto batch = PopBatch(stream);
  if (batch.empty()) {
    return;
  }
  std::vector<core::Json> records;
  records.reserve(batch.size());
  for (const auto& pending : batch) {
    records.emplace_back(pending->record);
  }
  stream.in_flight = true;
  stream.sent_at = core::MonotonicNow();
  ++appends_;
  client_.Append(name, records,
                 [this, name, batch](platform::AppendOutcome outcome) {
                   OnAppended(name, batch, outcome);
                 });
}

auto LogWriter::PopBatch(Stream& stream) -> Batch {
  Batch batch;
  while (!stream.queue.empty() && batch.size() < kMaxBatchRecords) {
    auto pending = std::move(stream.queue.front());
    stream.queue.pop_front();
    if (!pending->settled) {
      pending->sending = true;
      batch.push_back(std::move(pending));
    }
  }
  return batch;
}

auto LogWriter::OnAppended(const std::string& name,
                           const Batch& batch,
                           platform::AppendOutcome outcome) -> void {
  auto& stream = streams_[name];
  stream.in_flight = false;
  const bool not_appended = outcome == platform::AppendOutcome::kRefused ||
                            outcome == platform::AppendOutcome::kThrottled;
  for (const auto& pending : batch) {
    pending->sending = false;
    pending->may_be_appended = pending->may_be_appended || !not_appended;
  }
  if (outcome == platform::AppendOutcome::kAppended) {
    stream.backoff = 0;
    ScheduleFlush(name, 0);
    return;
  }
  Requeue(stream, batch);
  ScheduleFlush(name, NextBackoff(name));
  if (outcome == platform::AppendOutcome::kRefused) {
    SettleRefused(stream);
  }
}

auto LogWriter::Requeue(Stream& stream, const Batch& batch) -> void {
  for (auto pending = batch.rbegin(); pending != batch.rend(); ++pending) {
    if (!(*pending)->settled) {
      stream.queue.push_front(*pending);
    }
  }
}

auto LogWriter::SettleRefused(Stream& stream) -> void {
  // Settling a record may append another one to the queue.
  const auto waiting = stream.queue;
  for (const auto& pending : waiting) {
    if (pending->refusal_policy == RefusalPolicy::kFailFast &&
        !pending->settled && !pending->may_be_appended) {
      Settle(pending, NotRecordedResult());
    }
  }
}

auto LogWriter::NextBackoff(const std::string& name) -> core::Millis {
  auto& stream = streams_[name];
  stream.backoff = std::clamp(stream.backoff * 2, kMinBackoffMs, kMaxBackoffMs);
  const auto seed = self_ + name + std::to_string(appends_);
  const auto spread = static_cast<std::uint64_t>(stream.backoff / 2);
  return stream.backoff -
         static_cast<core::Millis>(core::StableHash(seed) % spread);
}

auto LogWriter::OnApplied(const AppliedRecord& applied) -> void {
  const auto found = unsettled_.find(applied.record.id);
  if (found != unsettled_.end()) {
    Settle(std::shared_ptr(found->second), applied.result);
  }
}

auto LogWriter::SettleExpired() -> void {
  const auto now = core::MonotonicNow();
  Batch expired;
  for (const auto& [id, pending] : unsettled_) {
    if (now >= pending->deadline) {
      expired.push_back(pending);
    }
  }
  for (const auto& pending : expired) {
    const bool unknown = pending->may_be_appended || pending->sending;
    Settle(pending, unknown ? OutcomeUnknownResult() : NotRecordedResult());
  }
}

auto LogWriter::Settle(const std::shared_ptr<Pending>& pending,
                       const state::ApplyResult& result) -> void {
  pending->settled = true;
  unsettled_.erase(pending->record.id);
  pending->done(result);
}

}  // namespace kcm::node
