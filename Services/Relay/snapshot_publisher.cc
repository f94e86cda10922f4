#include "snapshot_publisher.h"

#include <iterator>
#include <set>

#include "LibCore/event.h"

namespace kcm::relay {

namespace {

constexpr core::Millis kAppendTimeoutMs = 10000;

/// @return index of the own region among all, ordered by name.
auto RegionRankOf(const node::NodeSettings& settings) -> std::int64_t {
  std::set<std::string> regions;
  for (const auto& data_centre : settings.data_centres) {
    regions.insert(data_centre.region);
  }
  return std::distance(regions.begin(), regions.find(settings.region));
}

}  // namespace

SnapshotPublisher::SnapshotPublisher(node::Node& node)
    : node_(node),
      settings_{node.settings().snapshot_records,
                node.settings().snapshot_interval_ms},
      region_rank_(RegionRankOf(node.settings())) {
  for (const auto& stream : node.log().cluster_state().streams()) {
    progress_[stream].covered_at = core::MonotonicNow();
  }
  node.log().OnApplied(
      [this](const node::AppliedRecord& applied) { OnApplied(applied); });
}

auto SnapshotPublisher::OnApplied(const node::AppliedRecord& applied) -> void {
  auto& progress = progress_[applied.stream];
  if (applied.record.kind != state::RecordKind::kSnapshot) {
    ++progress.records;
    return;
  }
  state::SnapshotChunk chunk;
  try {
    chunk = applied.record.body.get<state::SnapshotChunk>();
  } catch (const core::Json::exception&) {
    return;
  }
  if (chunk.snapshot != progress.arriving) {
    progress.arriving = chunk.snapshot;
    progress.parts = 0;
    progress.records_before = progress.records;
  }
  progress.parts += applied.result.accepted ? 1 : 0;
  if (progress.parts == chunk.parts) {
    progress.covered = progress.records_before;
    progress.covered_at = core::MonotonicNow();
  }
}

auto SnapshotPublisher::IsDue(const std::string& stream,
                              const Progress& progress) const -> bool {
  const state::SnapshotView view{progress.records - progress.covered,
                                 core::MonotonicNow() - progress.covered_at,
                                 region_rank_};
  return node_.log().NextOffset(stream) > 0 && !progress.publishing &&
         state::IsSnapshotDue(settings_, view);
}

auto SnapshotPublisher::PublishDueSnapshots() -> void {
  for (auto& [stream, progress] : progress_) {
    if (!IsDue(stream, progress)) {
      continue;
    }
    const auto snapshot =
        node_.log().cluster_state().FindFold(stream)->ToSnapshot();
    const auto chunks = state::SplitSnapshot(snapshot);
    progress.unsent.assign(chunks.begin(), chunks.end());
    progress.publishing = true;
    core::LogEvent(core::Event::kSnapshotPublished,
                   {{"stream", stream},
                    {"covers", chunks.front().covers},
                    {"parts", chunks.size()}});
    AppendNextPart(stream);
  }
}

auto SnapshotPublisher::AppendNextPart(const std::string& stream) -> void {
  auto& progress = progress_[stream];
  if (progress.unsent.empty()) {
    progress.publishing = false;
    return;
  }
  const auto chunk = std::move(progress.unsent.front());
  progress.unsent.pop_front();
  node_.writer().Append(
      stream,
      state::MakeRecord(state::RecordKind::kSnapshot, node_.self(), chunk),
      core::MonotonicNow() + kAppendTimeoutMs,
      [this, stream](const state::ApplyResult& result) {
        if (!result.accepted) {
          // An incomplete snapshot cannot be loaded; the next one starts over.
          progress_[stream].unsent.clear();
        }
        AppendNextPart(stream);
      });
}

}  // namespace kcm::relay
