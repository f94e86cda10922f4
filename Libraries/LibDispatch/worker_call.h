#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "LibCore/address.h"
#include "LibCore/clock.h"
#include "LibCore/enum_names.h"
#include "LibDispatch/run_end.h"
#include "LibDispatch/task_id.h"

namespace kcm::dispatch {

/// Starts one run of a task.
struct StartCall {
  TaskId task;
  std::int64_t attempt = 0;
  std::string payload;
  /// Checkpoint to resume from; empty to start from the beginning.
  std::string checkpoint;
  /// End of the lease on the worker's clock.
  core::Millis lease_until = 0;
};

/// Stops one run of a task and prevents it from starting later.
struct StopCall {
  TaskId task;
  std::int64_t attempt = 0;
};

/// Polls a worker for its runs and their ends, and renews its lease.
struct PollCall {
  /// End of the lease on the worker's clock; nothing for no renewal.
  std::optional<core::Millis> lease_until;
  /// Newest end that is stored; the worker drops its ends up to this number.
  std::int64_t acknowledged = 0;
  /// How long the worker may delay the answer until a run ends.
  core::Millis wait_ms = 0;
  /// Sent while another poll still waits, to confirm a stop without delay.
  bool immediate = false;
};

/// One call to one worker.
struct WorkerCall {
  std::string worker;
  std::int64_t incarnation = 0;
  core::Address address;
  /// When the call was issued, on the steady clock.
  core::Millis sent_at = 0;
  std::variant<StartCall, StopCall, PollCall> command;
};

/// How a call to a worker ended.
enum class CallEnd : std::uint8_t {
  kDone,
  /// The worker has accepted a newer holder's call.
  kFenced,
  /// That run or a newer one was stopped or has ended on the worker.
  kSuperseded,
  /// The lease in the call had expired when it arrived.
  kLeaseExpired,
  kNoCapacity,
  /// The worker could not parse the call.
  kInvalid,
  /// Not executed: the worker is unhealthy.
  kUnhealthy,
  /// Another incarnation of the worker answered and did not execute the call.
  kOtherIncarnation,
  /// No connection was made, so the worker did not execute the call.
  kNeverSent,
  /// Outcome unknown; the call may also take effect later.
  kUnknown,
};

/// @return whether a call starts or stops a run, and is no poll.
[[nodiscard]] inline auto IsAboutRun(const WorkerCall& call) -> bool {
  return !std::holds_alternative<PollCall>(call.command);
}

/// A run listed in a poll's answer.
struct RunReport {
  TaskId task;
  std::int64_t attempt = 0;
  /// Newest checkpoint; empty for none.
  std::string checkpoint;
  /// Share of the work that is done.
  double percent = 0;
};

/// An ended run listed in a poll's answer.
struct EndReport {
  /// Sequence number of the end in this incarnation of the worker.
  std::int64_t number = 0;
  TaskId task;
  std::int64_t attempt = 0;
  RunEnd how = RunEnd::kLost;
  /// Last checkpoint of the run; empty for none.
  std::string checkpoint;
};

/// A worker's answer to a poll.
struct PollReport {
  std::int64_t incarnation = 0;
  core::Millis clock_ms = 0;
  std::vector<RunReport> running;
  std::vector<EndReport> ended;
  /// `ended` holds all ends that are not acknowledged. If not, later ones are
  /// reported once these are acknowledged.
  bool has_all_ends = true;
};

/// Result of a call to a worker.
struct CallResult {
  CallEnd end = CallEnd::kUnknown;
  /// The worker's side ended the connection before the call's timeout.
  bool connection_ended = false;
  /// The worker's clock, if reported.
  std::optional<core::Millis> clock_ms;
  /// Set for a poll that was answered.
  std::optional<PollReport> report;
};

}  // namespace kcm::dispatch

/// Names that the log shows: "late" for an expired lease, "no_room" for no
/// capacity, "other_life" for another incarnation of the worker.
template <>
struct kcm::core::EnumNames<kcm::dispatch::CallEnd> {
  using Enum = kcm::dispatch::CallEnd;
  static constexpr std::array<EnumName<Enum>, 10> kRows = {{
      {Enum::kDone, "done"},
      {Enum::kFenced, "fenced"},
      {Enum::kSuperseded, "superseded"},
      {Enum::kLeaseExpired, "late"},
      {Enum::kNoCapacity, "no_room"},
      {Enum::kInvalid, "invalid"},
      {Enum::kUnhealthy, "unhealthy"},
      {Enum::kOtherIncarnation, "other_life"},
      {Enum::kNeverSent, "never_sent"},
      {Enum::kUnknown, "unknown"},
  }};
};
