#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "LibCore/address.h"
#include "LibCore/clock.h"

namespace kcm::platform {

/// A request on its way to a minion.
struct MinionRequest {
  /// Id of this hop, the exchange of one gateway with one minion; the minion's
  /// answer must carry the same one.
  std::string hop_id;
  std::string account;
  std::string idempotency_key;
  std::string traceparent;
  std::string content_type;
  std::string body;
  core::Millis timeout_ms = 0;
};

/// Outcome of a request to a minion.
enum class MinionOutcome : std::uint8_t {
  /// A complete answer with the id of the hop.
  kAnswered,
  /// The minion refused before it ran anything: full or leaving.
  kRefused,
  /// The request certainly did not reach the minion.
  kNeverSent,
  /// The minion ran it and failed.
  kFailed,
  /// The minion may have run it; no complete answer arrived.
  kUnknown,
};

/// Result of one exchange with a minion.
struct MinionResult {
  MinionOutcome outcome = MinionOutcome::kUnknown;
  /// The minion reported that it is leaving.
  bool leaving = false;
  int status = 0;
  std::string content_type;
  std::string body;
};

/// The minions' interface for requests.
class MinionPort {
 public:
  using Done = std::function<void(MinionResult)>;

  virtual ~MinionPort() = default;

  virtual auto Send(const core::Address& minion,
                    const MinionRequest& request,
                    Done done) -> void = 0;
};

}  // namespace kcm::platform
