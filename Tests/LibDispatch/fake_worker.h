#pragma once

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "LibDispatch/dispatch_settings.h"
#include "LibDispatch/worker_call.h"
#include "LibDispatch/worker_info.h"

namespace kcm::dispatch {

struct FakeWork {
  core::Millis run_ms = 0;
  Resources demand;
  bool checkpoints = false;
  bool gang = false;
};

/// One run on a fake worker.
struct FakeRun {
  TaskId task;
  std::int64_t attempt = 0;
  core::Millis began_at = 0;
  FakeWork work;
  /// Work that is done, and how much of it came from the checkpoint.
  core::Millis worked_ms = 0;
  core::Millis resumed_ms = 0;
  bool hangs = false;
  /// When a requested stop takes effect; nothing before the request.
  std::optional<core::Millis> stops_at;
};

/// @return the prefix of a task's checkpoints.
inline auto CheckpointPrefix(const TaskId& task) -> std::string {
  return task.job + "/" + std::to_string(task.occurrence) + "/" +
         std::to_string(task.step) + "/" + std::to_string(task.index) + "/";
}

/// A worker that implements the platform's contract on simulated time: fencing,
/// leases on its own clock, ends that are listed until they are acknowledged.
class FakeWorker {
 public:
  using Key = std::pair<TaskId, std::int64_t>;

  explicit FakeWorker(WorkerInfo info) : info_(std::move(info)) {}

  [[nodiscard]] auto info() const -> const WorkerInfo& { return info_; }
  auto info() -> WorkerInfo& { return info_; }
  [[nodiscard]] auto runs() const -> const std::map<TaskId, FakeRun>& {
    return runs_;
  }
  [[nodiscard]] auto ended() const -> const std::deque<EndReport>& {
    return ended_;
  }
  [[nodiscard]] auto up() const -> bool { return up_; }
  auto set_up(bool up) -> void { up_ = up; }
  /// A stopped run keeps its capacity until the grace period is over.
  auto set_stop_grace(core::Millis grace) -> void { stop_grace_ms_ = grace; }
  auto set_speed(double speed) -> void { speed_ = speed; }
  [[nodiscard]] auto speed() const -> double { return speed_; }
  /// Limits the ends in one answer.
  auto set_max_listed_ends(std::size_t ends) -> void {
    max_listed_ends_ = ends;
  }
  /// Sets the speed of the worker's clock; at least 0.98 by the contract.
  auto set_clock_rate(double rate) -> void { clock_rate_ = rate; }

  /// Loses all runs and restarts under the same id.
  auto Crash(core::Millis now) -> std::vector<FakeRun> {
    std::vector<FakeRun> lost;
    for (const auto& [task, run] : runs_) {
      lost.push_back(run);
    }
    runs_.clear();
    used_.clear();
    ended_.clear();
    closed_.clear();
    fence_ = 0;
    number_ = 0;
    lease_until_ = 0;
    started_at_ = now;
    ++info_.incarnation;
    return lost;
  }

  [[nodiscard]] auto Clock(core::Millis now) const -> core::Millis {
    return static_cast<core::Millis>(static_cast<double>(now - started_at_) *
                                     clock_rate_);
  }

  [[nodiscard]] auto HasLease(core::Millis now) const -> bool {
    return Clock(now) <= lease_until_;
  }

  /// @return whether the run is new on this worker.
  auto Start(const StartCall& call,
             std::int64_t fence,
             const FakeWork& work,
             core::Millis now,
             CallResult& result) -> bool {
    result.clock_ms = Clock(now);
    if (fence < fence_) {
      result.end = CallEnd::kFenced;
      return false;
    }
    fence_ = fence;
    if (refuses_starts_) {
      result.end = CallEnd::kUnhealthy;
      return false;
    }
    const auto known = runs_.find(call.task);
    if (known != runs_.end() && known->second.attempt == call.attempt) {
      result.end = CallEnd::kDone;
      return false;
    }
    const auto closed = closed_.find(call.task);
    if ((closed != closed_.end() && call.attempt <= closed->second) ||
        known != runs_.end()) {
      result.end = CallEnd::kSuperseded;
      return false;
    }
    if (call.lease_until <= Clock(now)) {
      result.end = CallEnd::kLeaseExpired;
      return false;
    }
    CountLapse(now);
    has_lapsed_ = false;
    ExtendLease(call.lease_until, now);
    if (!Fits(Free(), work.demand)) {
      result.end = CallEnd::kNoCapacity;
      return false;
    }
    used_[call.task] = work.demand;
    FakeRun run{call.task, call.attempt, now, work, 0, 0, false, {}};
    if (const auto at = call.checkpoint.rfind('/'); at != std::string::npos) {
      run.resumed_ms = std::stoll(call.checkpoint.substr(at + 1));
      run.worked_ms = run.resumed_ms;
    }
    runs_[call.task] = run;
    result.end = CallEnd::kDone;
    return true;
  }

  auto Stop(const StopCall& call, std::int64_t fence, core::Millis now)
      -> CallResult {
    CallResult result;
    result.clock_ms = Clock(now);
    if (fence < fence_) {
      result.end = CallEnd::kFenced;
      return result;
    }
    fence_ = fence;
    auto& closed = closed_[call.task];
    closed = std::max(closed, call.attempt);
    const auto found = runs_.find(call.task);
    if (found != runs_.end() && found->second.attempt == call.attempt) {
      if (stop_grace_ms_ == 0) {
        End(call.task, RunEnd::kStopped);
      } else if (!found->second.stops_at) {
        found->second.stops_at = now + stop_grace_ms_;
      }
    }
    result.end = CallEnd::kDone;
    return result;
  }

  /// @return the result if the poll were answered now.
  auto Poll(const PollCall& call, std::int64_t fence, core::Millis now)
      -> CallResult {
    CallResult result;
    if (fence < fence_) {
      result.end = CallEnd::kFenced;
      return result;
    }
    fence_ = fence;
    CountLapse(now);
    while (!ended_.empty() && ended_.front().number <= call.acknowledged) {
      if (lapses_at_end_.at(ended_.front().number) == lapses_) {
        acknowledged_.push_back(ended_.front());
      }
      ended_.pop_front();
    }
    if (call.lease_until) {
      has_lapsed_ = false;
      ExtendLease(*call.lease_until, now);
    }
    result.end = CallEnd::kDone;
    result.clock_ms = Clock(now);
    PollReport report;
    report.incarnation = info_.incarnation;
    report.clock_ms = Clock(now);
    for (const auto& [task, run] : runs_) {
      const auto percent = 100.0 * static_cast<double>(run.worked_ms) /
                           static_cast<double>(run.work.run_ms);
      report.running.push_back({task, run.attempt, CheckpointOf(run), percent});
    }
    const auto listed = std::min(ended_.size(), max_listed_ends_);
    report.ended.assign(ended_.begin(),
                        ended_.begin() + static_cast<std::ptrdiff_t>(listed));
    report.has_all_ends = listed < max_listed_ends_;
    result.report = report;
    return result;
  }

  /// Advances all runs.
  /// @param may_work whether a run works; members of a gang wait for others.
  /// @return runs that lapsed, failed or were done, and how they ended.
  auto Advance(core::Millis now,
               core::Millis span,
               const std::function<double(const FakeRun&)>& speed_of)
      -> std::vector<std::pair<FakeRun, RunEnd>> {
    std::vector<std::pair<FakeRun, RunEnd>> ends;
    CountLapse(now);
    for (const auto& [task, run] : std::map(runs_)) {
      auto& live = runs_.at(task);
      if (Clock(now) > lease_until_) {
        ends.emplace_back(live, RunEnd::kLapsed);
        End(task, RunEnd::kLapsed);
      } else if (live.stops_at) {
        if (now >= *live.stops_at) {
          End(task, RunEnd::kStopped);
        }
      } else if (const auto speed = speed_of(live); !live.hangs && speed > 0) {
        live.worked_ms += static_cast<core::Millis>(static_cast<double>(span) *
                                                    std::min(speed, speed_));
        if (live.worked_ms >= live.work.run_ms || fails_at_once_) {
          const auto how = fails() ? RunEnd::kFailed : RunEnd::kDone;
          ends.emplace_back(live, how);
          End(task, how);
        }
      }
    }
    return ends;
  }

  /// @return ends that a holder acknowledged before the lease expired.
  auto TakeAcknowledged() -> std::vector<EndReport> {
    return std::exchange(acknowledged_, {});
  }

  [[nodiscard]] auto fails() const -> bool { return fails_ || fails_at_once_; }
  /// Fails all that it starts before any work is done.
  auto set_fails_at_once(bool fails) -> void { fails_at_once_ = fails; }
  auto set_fails(bool fails) -> void { fails_ = fails; }
  /// Refuses all starts and does nothing for them.
  auto set_refuses_starts(bool refuses) -> void { refuses_starts_ = refuses; }
  auto Hang(const TaskId& task) -> void { runs_.at(task).hangs = true; }

  [[nodiscard]] auto Free() const -> Resources {
    auto free = info_.capacity;
    for (const auto& [task, demand] : used_) {
      free -= demand;
    }
    return free;
  }

  auto End(const TaskId& task, RunEnd how) -> void {
    auto& run = runs_.at(task);
    ended_.push_back({++number_, task, run.attempt, how, CheckpointOf(run)});
    lapses_at_end_[number_] = lapses_;
    auto& closed = closed_[task];
    closed = std::max(closed, run.attempt);
    // The argument may be the key of the run.
    const auto id = run.task;
    runs_.erase(id);
    used_.erase(id);
  }

 private:
  /// @return the run's checkpoint; the members of a gang share theirs.
  static auto CheckpointOf(const FakeRun& run) -> std::string {
    if (!run.work.checkpoints || run.worked_ms == 0) {
      return "";
    }
    auto owner = run.task;
    owner.index = run.work.gang ? 0 : owner.index;
    return CheckpointPrefix(owner) + std::to_string(run.worked_ms);
  }

  /// A lease never shortens, and is granted for the longest time at most: a
  /// start that was meant for a former incarnation names a time on its clock.
  auto ExtendLease(core::Millis until, core::Millis now) -> void {
    const auto longest = Clock(now) + DispatchSettings{}.max_lease_ms;
    lease_until_ = std::max(lease_until_, std::min(until, longest));
  }

  auto CountLapse(core::Millis now) -> void {
    if (Clock(now) > lease_until_ && !has_lapsed_) {
      has_lapsed_ = true;
      ++lapses_;
    }
  }

  WorkerInfo info_;
  std::vector<EndReport> acknowledged_;
  std::map<std::int64_t, int> lapses_at_end_;
  int lapses_ = 0;
  bool has_lapsed_ = false;
  std::map<TaskId, FakeRun> runs_;
  std::map<TaskId, Resources> used_;
  std::deque<EndReport> ended_;
  std::map<TaskId, std::int64_t> closed_;
  std::int64_t fence_ = 0;
  std::int64_t number_ = 0;
  core::Millis lease_until_ = 0;
  core::Millis started_at_ = 0;
  double speed_ = 1;
  double clock_rate_ = 1;
  core::Millis stop_grace_ms_ = 0;
  std::size_t max_listed_ends_ = 500;
  bool fails_ = false;
  bool fails_at_once_ = false;
  bool refuses_starts_ = false;
  bool up_ = true;
};

}  // namespace kcm::dispatch
