#include "LibState/snapshot_chunk.h"

#include "LibCore/identity.h"
#include "LibCore/json_decode.h"

namespace kcm::state {

namespace {

constexpr std::size_t kMaxChunkBytes = 48UL * 1024;

}  // namespace

auto SplitSnapshot(const core::Json& snapshot) -> std::vector<SnapshotChunk> {
  // Plain ASCII, so that every part is valid text.
  const auto text = core::ToAsciiJsonText(snapshot);
  const auto id = core::MakeId("snapshot");
  const auto sha256 = core::Sha256Hex(text);
  const auto covers = snapshot.at("next_offset").get<std::int64_t>();
  const auto parts = (text.size() + kMaxChunkBytes - 1) / kMaxChunkBytes;
  std::vector<SnapshotChunk> chunks;
  for (std::size_t part = 0; part < parts; ++part) {
    chunks.push_back({id, covers, static_cast<std::int64_t>(part),
                      static_cast<std::int64_t>(parts), sha256,
                      text.substr(part * kMaxChunkBytes, kMaxChunkBytes)});
  }
  return chunks;
}

}  // namespace kcm::state
