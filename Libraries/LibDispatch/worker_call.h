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
  /// The run resumes from here; empty for a run from the beginning.
  std::string checkpoint;
  /// End of the lease on the worker's own clock.
  core::Millis lease_until = 0;
};

/// Ends one run of a task and rules out that it begins later.
struct StopCall {
  TaskId task;
  std::int64_t attempt = 0;
};

/// Asks what runs and what ended, and renews the lease of all that runs.
struct LookCall {
  /// End of the lease on the worker's own clock; nothing to renew none.
  std::optional<core::Millis> lease_until;
  /// Number of the newest end that is stored; the worker forgets up to it.
  std::int64_t seen = 0;
  /// Span for which the answer may wait for an end.
  core::Millis wait_ms = 0;
  /// Sent beside a look that still waits, to learn of a stop at once.
  bool quick = false;
};

/// One call to one worker.
struct WorkerCall {
  std::string worker;
  std::int64_t life = 0;
  core::Address address;
  /// When the call was decided, on the steady clock.
  core::Millis sent_at = 0;
  std::variant<StartCall, StopCall, LookCall> what;
};

/// How a call to a worker ended.
enum class CallEnd : std::uint8_t {
  kDone,
  /// A newer holder has given orders there.
  kFenced,
  /// That run or a newer one was stopped or has ended there.
  kSuperseded,
  /// The lease in the call was over before it arrived.
  kLate,
  kNoRoom,
  /// The worker cannot read the call.
  kInvalid,
  /// The worker is unhealthy and did nothing.
  kUnhealthy,
  /// Another life of the worker answered and did nothing.
  kOtherLife,
  /// No connection was made: the worker provably did nothing.
  kNeverSent,
  /// The worker may have done it, or may do it later.
  kUnknown,
};

/// One run in a worker's answer.
struct RunReport {
  TaskId task;
  std::int64_t attempt = 0;
  /// Newest checkpoint; empty for none.
  std::string checkpoint;
  /// Share of the work that is done.
  double percent = 0;
};

/// One ended run in a worker's answer.
struct EndReport {
  /// Number of the end in this life of the worker; they rise by one.
  std::int64_t number = 0;
  TaskId task;
  std::int64_t attempt = 0;
  RunEnd how = RunEnd::kVanished;
  /// Checkpoint that the run left; empty for none.
  std::string checkpoint;
};

/// A worker's answer to a look.
struct LookReport {
  std::int64_t life = 0;
  core::Millis clock_ms = 0;
  std::vector<RunReport> running;
  std::vector<EndReport> ended;
};

/// The end of a call, with what the worker said.
struct CallResult {
  CallEnd end = CallEnd::kUnknown;
  /// The worker's clock, if it told.
  std::optional<core::Millis> clock_ms;
  /// Set after a look that was answered.
  std::optional<LookReport> report;
};

}  // namespace kcm::dispatch

template <>
struct kcm::core::EnumNames<kcm::dispatch::CallEnd> {
  using Enum = kcm::dispatch::CallEnd;
  static constexpr std::array<EnumName<Enum>, 10> kRows = {{
      {Enum::kDone, "done"},
      {Enum::kFenced, "fenced"},
      {Enum::kSuperseded, "superseded"},
      {Enum::kLate, "late"},
      {Enum::kNoRoom, "no_room"},
      {Enum::kInvalid, "invalid"},
      {Enum::kUnhealthy, "unhealthy"},
      {Enum::kOtherLife, "other_life"},
      {Enum::kNeverSent, "never_sent"},
      {Enum::kUnknown, "unknown"},
  }};
};
