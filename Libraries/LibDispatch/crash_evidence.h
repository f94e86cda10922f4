#pragma once

#include <cstdint>
#include <vector>

#include "LibCore/clock.h"
#include "LibDispatch/task_id.h"

namespace kcm::dispatch {

/// A deadly task usually crashes a worker within this time after its start.
inline constexpr core::Millis kDeadlyWithinMs = 2500;
/// A run of this age has nothing to do with the crash of its worker.
inline constexpr core::Millis kProvenMs = 10000;

/// What speaks for a task being deadly, that is for its crashing the workers
/// that start it. A gang's evidence is kept with its first task.
struct CrashEvidence {
  /// Workers that crashed soon after they had started the task.
  std::int64_t crashes = 0;
  /// Of these, crashes that the task or some others may have caused.
  std::int64_t as_candidate = 0;
  /// Of these, crashes that nothing else is likely to have caused.
  std::int64_t as_only_candidate = 0;
  /// Newest attempt that was counted, so that each counts once.
  std::int64_t attempt = 0;

  /// @return whether the task is kept apart from others for a while.
  [[nodiscard]] auto IsSuspect() const -> bool {
    return as_candidate > 0 || crashes > 1;
  }

  /// @return whether it may take long to crash a worker, so that younger runs
  ///     were there each time.
  [[nodiscard]] auto MayBeSlow() const -> bool {
    return crashes > 1 && crashes > as_only_candidate;
  }

  /// @return whether the task is to be given up. The users' limit is two starts
  ///     after the third crash.
  [[nodiscard]] auto IsConclusive() const -> bool;
};

/// A run on a worker at the time of its crash.
struct RunAtCrash {
  /// The task or, for a member of a gang, the gang's first task.
  TaskId task;
  std::int64_t attempt = 0;
  /// How long it certainly had run.
  core::Millis survived_ms = 0;
  /// It was a suspect before.
  bool is_suspect = false;
};

/// @return whether a task that was on the worker may have crashed it.
[[nodiscard]] auto MayExplainCrash(const std::vector<RunAtCrash>& runs) -> bool;

/// What a crash tells about one of the runs that were there.
enum class Implication : std::uint8_t {
  kNone,
  kPresent,
  kCandidate,
  kOnlyCandidate,
};

/// Judges the runs that a worker had when it crashed: a deadly task crashes its
/// worker soon after its start, so that young runs and former suspects are the
/// candidates, or of a young suspect and older ones the young; if there are
/// none, all are.
/// @param is_weak workers crash for causes of their own at that time, so that
///     the task may be none.
[[nodiscard]] auto JudgeCrash(const std::vector<RunAtCrash>& runs, bool is_weak)
    -> std::vector<Implication>;

}  // namespace kcm::dispatch
