#include "log_reader.h"

#include <algorithm>
#include <utility>

#include "LibCore/event.h"

namespace kcm::relay {

namespace {

constexpr core::Millis kTableWaitMs = 1000;
constexpr core::Millis kStreamWaitMs = 5000;
constexpr core::Millis kRetryDelayMs = 250;
constexpr core::Millis kProbePeriodMs = 1000;
/// Limits the load on a log service that ignores the wait of a read.
constexpr core::Millis kEmptyReadDelayMs = 20;

/// @return the wait of the next read; none until the end was reached once.
auto WaitOf(const std::string& stream, bool complete) -> core::Millis {
  if (!complete) {
    return 0;
  }
  return stream == state::kTableStream ? kTableWaitMs : kStreamWaitMs;
}

}  // namespace

LogReader::LogReader(node::Node& node) : node_(node) {
  node_.loop().Every(kProbePeriodMs, [this] { ProbeLog(); });
}

auto LogReader::complete() const -> bool {
  return complete_.size() == node_.log().cluster_state().streams().size();
}

auto LogReader::SetActive(bool active) -> void {
  if (active == active_) {
    return;
  }
  active_ = active;
  ++generation_;
  recoveries_.clear();
  if (!active_) {
    return;
  }
  core::LogEvent(core::Event::kReaderTakenOver);
  for (const auto& stream : node_.log().cluster_state().streams()) {
    ReadStream(stream, generation_);
  }
}

auto LogReader::ReadStream(const std::string& stream, std::int64_t generation)
    -> void {
  if (generation != generation_) {
    return;
  }
  const auto recovery = recoveries_.find(stream);
  const auto offset = recovery == recoveries_.end()
                          ? node_.log().NextOffset(stream)
                          : recovery->second.next_offset();
  node_.log_client().Read(
      stream, offset, WaitOf(stream, complete_.contains(stream)),
      [this, stream, generation](const platform::ReadResult& result) {
        OnRead(stream, generation, result);
      });
}

auto LogReader::OnRead(const std::string& stream,
                       std::int64_t generation,
                       const platform::ReadResult& result) -> void {
  if (generation != generation_) {
    return;
  }
  if (stream == state::kTableStream) {
    SetReachable(result.outcome != platform::ReadOutcome::kUnreachable);
  }
  const auto delay = ApplyRead(stream, result);
  node_.loop().After(
      delay, [this, stream, generation] { ReadStream(stream, generation); });
}

auto LogReader::ApplyRead(const std::string& stream,
                          const platform::ReadResult& result) -> core::Millis {
  switch (result.outcome) {
    case platform::ReadOutcome::kUnreachable:
      return kRetryDelayMs;
    case platform::ReadOutcome::kExpired:
      StartRecovery(stream, result.earliest_offset);
      return kEmptyReadDelayMs;
    case platform::ReadOutcome::kRead:
      break;
  }
  if (recoveries_.contains(stream)) {
    ContinueRecovery(stream, result);
  } else {
    node_.log().ApplyRecords(stream, result.first_offset, result.records);
    if (result.records.empty()) {
      complete_.insert(stream);
    }
  }
  return result.records.empty() ? kEmptyReadDelayMs : 0;
}

auto LogReader::StartRecovery(const std::string& stream, std::int64_t earliest)
    -> void {
  core::LogEvent(core::Event::kRecoveryStarted,
                 {{"stream", stream},
                  {"expected", node_.log().NextOffset(stream)},
                  {"earliest", earliest}});
  recoveries_.insert_or_assign(stream, state::StreamRecovery(earliest));
}

auto LogReader::ContinueRecovery(const std::string& stream,
                                 const platform::ReadResult& result) -> void {
  auto& recovery = recoveries_.at(stream);
  for (std::size_t i = 0; i < result.records.size(); ++i) {
    auto point = recovery.Add(result.records[i]);
    if (!point) {
      continue;
    }
    node_.log().ApplySnapshot(stream, point->snapshot);
    node_.log().ApplyRecords(stream, point->first_offset, point->records);
    const auto next = result.first_offset + static_cast<std::int64_t>(i) + 1;
    node_.log().ApplyRecords(
        stream, next,
        {result.records.begin() + static_cast<std::ptrdiff_t>(i) + 1,
         result.records.end()});
    recoveries_.erase(stream);
    core::LogEvent(core::Event::kStreamRecovered,
                   {{"stream", stream}, {"covers", point->first_offset}});
    return;
  }
}

auto LogReader::ProbeLog() -> void {
  if (active_ || reachable_ || std::exchange(probing_, true)) {
    return;
  }
  const std::string table(state::kTableStream);
  node_.log_client().Read(
      table, node_.log().NextOffset(table), 0,
      [this](const platform::ReadResult& result) {
        probing_ = false;
        if (!active_) {
          SetReachable(result.outcome != platform::ReadOutcome::kUnreachable);
        }
      });
}

auto LogReader::SetReachable(bool reachable) -> void {
  if (reachable == reachable_) {
    return;
  }
  reachable_ = reachable;
  node_.metrics().Set("log_reachable", reachable ? 1 : 0);
  core::LogEvent(reachable ? core::Event::kLogReachable
                           : core::Event::kLogUnreachable);
}

}  // namespace kcm::relay
