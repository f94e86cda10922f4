#include "LibEntry/peer_heartbeat.h"

#include "LibCore/json_decode.h"
#include "LibEntry/peer_directory.h"

namespace kcm::entry {

auto DecodeHeartbeat(const std::string& text, core::Reason& reason)
    -> std::optional<PeerHeartbeat> {
  const auto fail = [&](const std::string& message) {
    reason = {core::ErrorKind::kBadInput, "body", message};
    return std::nullopt;
  };
  if (text.size() > kMaxHeartbeatBytes) {
    return fail("The heartbeat has " + std::to_string(text.size()) + " bytes.");
  }
  try {
    const auto document = core::ParseJson(text);
    if (!document.is_object()) {
      return fail("The heartbeat is no JSON object, or nests too deeply.");
    }
    if (!core::HasOnlyNumbersInRange(document)) {
      return fail("A number in the heartbeat is out of range.");
    }
    auto heartbeat = document.get<PeerHeartbeat>();
    if (heartbeat.notes.size() > PeerDirectory::kMaxNotes) {
      heartbeat.notes.resize(PeerDirectory::kMaxNotes);
    }
    return heartbeat;
  } catch (const core::Json::exception& error) {
    return fail(error.what());
  }
}

}  // namespace kcm::entry
