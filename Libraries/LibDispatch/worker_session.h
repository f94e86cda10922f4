#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "LibDispatch/dispatch_settings.h"
#include "LibDispatch/run.h"
#include "LibDispatch/worker_call.h"
#include "LibDispatch/worker_clock.h"
#include "LibDispatch/worker_info.h"

namespace kcm::dispatch {

/// A run that exists no more, and how it ended.
struct EndedRun {
  Run run;
  RunEnd how = RunEnd::kVanished;
};

/// What the holder of the term knows of one worker and what it asks of it.
///
/// Pure: calls come out of TakeCalls() and their results go into the On...()
/// functions. A run counts as gone only when the worker listed its end, when
/// the worker answered after a confirmed start or stop without listing it, or
/// when its lease has lapsed for sure.
class WorkerSession {
 public:
  /// @param lapse_floor point on the steady clock before which leases that a
  ///     former holder granted may still run.
  WorkerSession(WorkerInfo info,
                const DispatchSettings& settings,
                core::Millis lapse_floor);

  /// Takes a newer listing of the worker.
  /// @return runs that its former life took with it.
  [[nodiscard]] auto Describe(const WorkerInfo& info, core::Millis now)
      -> std::vector<EndedRun>;
  auto SetListed(bool listed) -> void { listed_ = listed; }

  /// Adds a run that a former holder placed or that was just decided.
  auto Add(Run run) -> void;

  /// Tells a run to stop.
  /// @return the run, if it provably never started and is gone at once.
  [[nodiscard]] auto Stop(const TaskId& task, core::Millis now)
      -> std::optional<EndedRun>;

  /// @param stored number of the newest batch of rows that is stored.
  /// @param may_renew whether the holder may still renew leases.
  [[nodiscard]] auto TakeCalls(core::Millis now,
                               std::uint64_t stored,
                               bool may_renew) -> std::vector<WorkerCall>;

  /// @return the run, if the worker provably never began it.
  [[nodiscard]] auto OnStart(const StartCall& call,
                             const CallResult& result,
                             core::Millis now) -> std::optional<EndedRun>;
  auto OnStop(const StopCall& call, const CallResult& result, core::Millis now)
      -> void;
  /// @param sent_at when the look was sent.
  /// @return runs that are gone, in the order of their ends.
  [[nodiscard]] auto OnLook(const LookCall& call,
                            const CallResult& result,
                            core::Millis sent_at,
                            core::Millis now) -> std::vector<EndedRun>;

  /// The rows that follow from the ends told so far lie in this batch.
  auto NoteEnds(std::uint64_t batch) -> void;

  /// @return runs whose leases have lapsed while the worker did not answer.
  [[nodiscard]] auto TakeLapsed(core::Millis now) -> std::vector<EndedRun>;

  [[nodiscard]] auto info() const -> const WorkerInfo& { return info_; }
  [[nodiscard]] auto runs() const -> const std::map<TaskId, Run>& {
    return runs_;
  }
  [[nodiscard]] auto used() const -> const Resources& { return used_; }
  [[nodiscard]] auto is_listed() const -> bool { return listed_; }

  /// @return whether new runs may be placed.
  [[nodiscard]] auto is_usable() const -> bool {
    return listed_ && greeted_ && !info_.draining && silent_looks_ == 0 &&
           strays_.empty();
  }
  /// @return the point on the steady clock until which a draining worker
  ///     stays at least; nothing for one that does not drain.
  [[nodiscard]] auto leaves_at() const -> std::optional<core::Millis> {
    return leaves_at_;
  }
  /// @return whether the newest look was answered.
  [[nodiscard]] auto is_answering() const -> bool {
    return greeted_ && silent_looks_ == 0;
  }
  /// @return whether nothing of the session is worth keeping.
  [[nodiscard]] auto is_idle() const -> bool {
    return runs_.empty() && strays_.empty();
  }

 private:
  /// Span after which a call without an answer is repeated: a few round trips.
  static constexpr core::Millis kRepeatMs = 100;

  struct Note {
    std::uint64_t batch = 0;
    std::int64_t number = 0;
  };
  /// A run on the worker that nobody wants.
  struct Stray {
    bool call_in_flight = false;
    core::Millis next_call_at = 0;
    std::optional<core::Millis> stopped_at;
  };
  using StrayKey = std::pair<TaskId, std::int64_t>;

  auto NoteLeaving(core::Millis now) -> void;
  auto Erase(const TaskId& task, RunEnd how) -> EndedRun;
  auto Grant(core::Millis now) -> core::Millis;
  [[nodiscard]] auto CallOf(core::Millis now) const -> WorkerCall;
  auto AddRunCalls(core::Millis now,
                   std::uint64_t stored,
                   bool may_renew,
                   std::vector<WorkerCall>& calls) -> void;
  auto AddStrayCalls(core::Millis now, std::vector<WorkerCall>& calls) -> void;
  auto AddLook(core::Millis now, bool may_renew, std::vector<WorkerCall>& calls)
      -> void;
  auto TakeEnds(const LookReport& report, std::vector<EndedRun>& gone) -> void;
  auto TakeRunning(const LookReport& report,
                   core::Millis sent_at,
                   core::Millis now,
                   std::vector<EndedRun>& gone) -> void;
  [[nodiscard]] auto IsAbsenceProof(const Run& run, core::Millis sent_at) const
      -> bool;

  WorkerInfo info_;
  DispatchSettings settings_;
  core::Millis lapse_floor_;
  bool listed_ = true;
  std::optional<core::Millis> leaves_at_;
  /// Has answered a look of this holder in this life.
  bool greeted_ = false;
  WorkerClock clock_;
  /// Latest end of a lease that was ever granted, on the worker's clock.
  core::Millis lease_until_ = 0;
  std::map<TaskId, Run> runs_;
  std::map<StrayKey, Stray> strays_;
  Resources used_;
  /// Newest end that was told, and the newest that is stored.
  std::int64_t told_ = 0;
  std::int64_t seen_ = 0;
  /// Newest end that the worker was told to forget.
  std::int64_t forgotten_ = 0;
  std::deque<Note> notes_;
  bool waiting_look_ = false;
  bool quick_look_ = false;
  bool want_quick_look_ = false;
  core::Millis next_look_at_ = 0;
  int silent_looks_ = 0;
};

}  // namespace kcm::dispatch
