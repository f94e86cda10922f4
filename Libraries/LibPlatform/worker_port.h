#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "LibCore/address.h"
#include "LibCore/clock.h"
#include "LibCore/json.h"
#include "LibPlatform/lease_state.h"

namespace kcm::platform {

/// Capacity that a scheduler reserves on a worker.
struct LeaseRequest {
  std::string lease;
  std::string job;
  std::int64_t attempt = 0;
  /// Fencing token; a worker refuses commands with a lower one.
  std::int64_t term = 0;
  std::vector<std::int64_t> accelerators;
  std::int64_t cores = 0;
  std::int64_t memory_mb = 0;
  core::Millis ttl_ms = 0;
};

KCM_JSON(LeaseRequest,
         lease,
         job,
         attempt,
         term,
         accelerators,
         cores,
         memory_mb,
         ttl_ms)

/// A command for a lease of a worker and the task in it.
enum class LeaseCommand : std::uint8_t {
  /// Starts the task in a held lease.
  kStart,
  /// Slows the running task down before a checkpoint or stop; the worker
  /// determines by how much.
  kThrottle,
  /// Makes the task save a checkpoint and end.
  kCheckpoint,
  /// Ends the task without a checkpoint and releases the lease. A lease stopped
  /// before its Acquire() arrives is not granted later.
  kStop,
};

/// Outcome of a command.
enum class CommandOutcome : std::uint8_t {
  kDone,
  /// The worker answered that it did not execute the command.
  kRefused,
  /// The command certainly did not reach the worker.
  kNeverSent,
  /// The worker may have executed the command.
  kUnknown,
};

/// State of one lease in a report.
struct LeaseReport {
  LeaseState state = LeaseState::kUnknown;
  /// Text by which a later start resumes the task, as the worker chose it;
  /// empty for none.
  std::string checkpoint;
};

KCM_JSON(LeaseReport, state, checkpoint)

/// Reports by lease id; nothing when the worker did not answer.
using RenewResult = std::optional<std::map<std::string, LeaseReport>>;

/// The workers' interface for the scheduler of Services/Scheduler: a lease
/// reserves capacity first, and commands start and stop the task in it. The
/// processes of Services/Entry use TaskPort instead.
class WorkerPort {
 public:
  using CommandDone = std::function<void(CommandOutcome)>;
  using RenewDone = std::function<void(RenewResult)>;

  virtual ~WorkerPort() = default;

  /// Reserves capacity; starts no task.
  virtual auto Acquire(const core::Address& worker,
                       const LeaseRequest& request,
                       CommandDone done) -> void = 0;

  /// Sends a command for one lease.
  /// @param task parameters of the task; read by kStart only.
  virtual auto Command(const core::Address& worker,
                       const std::string& lease,
                       std::int64_t term,
                       LeaseCommand command,
                       const core::Json& task,
                       CommandDone done) -> void = 0;

  /// Renews leases for `ttl` and reports their states.
  virtual auto Renew(const core::Address& worker,
                     std::int64_t term,
                     const std::vector<std::string>& leases,
                     core::Millis ttl,
                     RenewDone done) -> void = 0;
};

}  // namespace kcm::platform

template <>
struct kcm::core::EnumNames<kcm::platform::LeaseCommand> {
  using Enum = kcm::platform::LeaseCommand;
  static constexpr std::array<EnumName<Enum>, 4> kRows = {{
      {Enum::kStart, "start"},
      {Enum::kThrottle, "throttle"},
      {Enum::kCheckpoint, "checkpoint"},
      {Enum::kStop, "stop"},
  }};
};
