#include "LibNode/log_writer.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "LibCore/clock.h"

namespace kcm::node {

namespace {

constexpr core::Millis kLinger = 5;
constexpr core::Millis kBackoffMin = 50;
constexpr core::Millis kBackoffMax = 1000;
constexpr core::Millis kExpirePeriod = 50;
constexpr std::size_t kMaxBatch = 256;

}  // namespace

LogWriter::LogWriter(net::EventLoop& loop,
                     LogState& log,
                     platform::LogClient& client)
    : loop_(loop), client_(client) {
  log.OnApplied([this](const AppliedRecord& applied) { OnApplied(applied); });
  loop.Every(kExpirePeriod, [this] { Expire(); });
}

auto LogWriter::Append(const std::string& stream,
                       state::Record record,
                       core::Millis deadline,
                       Done done) -> void {
  auto pending = std::make_shared<Pending>();
  pending->record = std::move(record);
  pending->deadline = deadline;
  pending->done = std::move(done);
  unsettled_[pending->record.id] = pending;
  streams_[stream].queue.push_back(std::move(pending));
  ScheduleFlush(stream, kLinger);
}

auto LogWriter::ScheduleFlush(const std::string& name, core::Millis delay)
    -> void {
  auto& stream = streams_[name];
  if (std::exchange(stream.flush_due, true)) {
    return;
  }
  loop_.After(delay, [this, name] {
    streams_[name].flush_due = false;
    Flush(name);
  });
}

auto LogWriter::Flush(const std::string& name) -> void {
  auto& stream = streams_[name];
  if (stream.in_flight) {
    return;
  }
  std::vector<std::shared_ptr<Pending>> batch;
  std::vector<core::Json> records;
  while (!stream.queue.empty() && batch.size() < kMaxBatch) {
    auto pending = std::move(stream.queue.front());
    stream.queue.pop_front();
    if (!pending->settled) {
      records.emplace_back(pending->record);
      batch.push_back(std::move(pending));
    }
  }
  if (batch.empty()) {
    return;
  }
  stream.in_flight = true;
  ++appends_;
  client_.Append(name, records,
                 [this, name, batch](platform::AppendOutcome outcome) {
                   OnAppended(name, batch, outcome);
                 });
}

auto LogWriter::OnAppended(const std::string& name,
                           const std::vector<std::shared_ptr<Pending>>& batch,
                           platform::AppendOutcome outcome) -> void {
  auto& stream = streams_[name];
  stream.in_flight = false;
  if (outcome == platform::AppendOutcome::kAppended) {
    stream.backoff = 0;
    for (const auto& pending : batch) {
      pending->maybe_appended = true;
      pending->in_log = true;
    }
    ScheduleFlush(name, 0);
    return;
  }
  for (auto pending = batch.rbegin(); pending != batch.rend(); ++pending) {
    if (outcome == platform::AppendOutcome::kUnknown) {
      (*pending)->maybe_appended = true;
    }
    if (!(*pending)->settled) {
      stream.queue.push_front(*pending);
    }
  }
  stream.backoff = std::clamp(stream.backoff * 2, kBackoffMin, kBackoffMax);
  ScheduleFlush(name, stream.backoff);
}

auto LogWriter::OnApplied(const AppliedRecord& applied) -> void {
  const auto found = unsettled_.find(applied.record.id);
  if (found != unsettled_.end()) {
    Settle(std::shared_ptr(found->second), applied.verdict);
  }
}

auto LogWriter::Expire() -> void {
  const auto now = core::MonotonicNow();
  std::vector<std::shared_ptr<Pending>> expired;
  for (const auto& [id, pending] : unsettled_) {
    if (now >= pending->deadline) {
      expired.push_back(pending);
    }
  }
  for (const auto& pending : expired) {
    const bool in_flight =
        !pending->in_log &&
        std::none_of(streams_.begin(), streams_.end(), [&](const auto& entry) {
          const auto& queue = entry.second.queue;
          return std::find(queue.begin(), queue.end(), pending) != queue.end();
        });
    if (pending->maybe_appended || in_flight) {
      Settle(pending,
             state::Verdict::Reject(core::ErrorKind::kOutcomeUnknown, "log",
                                    "The log did not confirm the record in "
                                    "time; it may still take effect."));
    } else {
      Settle(pending,
             state::Verdict::Reject(core::ErrorKind::kLogDown, "log",
                                    "The log is down; nothing was recorded."));
    }
  }
}

auto LogWriter::Settle(const std::shared_ptr<Pending>& pending,
                       const state::Verdict& verdict) -> void {
  pending->settled = true;
  unsettled_.erase(pending->record.id);
  pending->done(verdict);
}

}  // namespace kcm::node
