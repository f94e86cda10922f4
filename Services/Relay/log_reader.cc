#include "log_reader.h"

#include "LibCore/event.h"

namespace kcm::relay {

namespace {

constexpr core::Millis kRetryDelay = 250;
/// Spares a log service whose reads do not wait for new records.
constexpr core::Millis kEmptyReadDelay = 20;

}  // namespace

LogReader::LogReader(node::Node& node) : node_(node) {}

auto LogReader::SetActive(bool active) -> void {
  if (active == active_) {
    return;
  }
  active_ = active;
  ++generation_;
  if (!active_) {
    return;
  }
  core::LogEvent(core::Event::kReaderTakenOver);
  for (const auto& stream : node_.log().world().streams()) {
    Read(stream, generation_);
  }
}

auto LogReader::Read(const std::string& stream, std::int64_t generation)
    -> void {
  if (generation != generation_) {
    return;
  }
  node_.log_client().Read(
      stream, node_.log().NextOffset(stream),
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
  const bool read = result.outcome == platform::ReadOutcome::kRead;
  SetReachable(result.outcome != platform::ReadOutcome::kUnreachable);
  if (read) {
    node_.log().ApplyRecords(stream, result.first_offset, result.records);
  }
  // FIXME: A stream whose records expired needs a snapshot from the log.
  const auto delay =
      !read ? kRetryDelay : (result.records.empty() ? kEmptyReadDelay : 0);
  node_.loop().After(delay,
                     [this, stream, generation] { Read(stream, generation); });
}

auto LogReader::SetReachable(bool reachable) -> void {
  if (reachable == reachable_) {
    return;
  }
  reachable_ = reachable;
  core::LogEvent(reachable ? core::Event::kLogReachable
                           : core::Event::kLogUnreachable);
}

}  // namespace kcm::relay
