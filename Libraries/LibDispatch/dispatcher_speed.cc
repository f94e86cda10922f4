// Moves work off workers that work much slower than others.

#include <map>
#include <tuple>
#include <utility>
#include <vector>

#include "LibDispatch/dispatcher.h"

namespace kcm::dispatch {

namespace {

/// Interval between comparisons; workers report progress about each second.
constexpr core::Millis kComparePeriodMs = 250;
/// A run moves if it would still take this many times as long where it is as
/// from its start elsewhere, and this much longer for the move.
constexpr double kMinGain = 2;
constexpr double kMoveMs = 500;
/// A task is moved off slow workers at most this often.
constexpr int kMaxMoves = 2;

}  // namespace

auto Dispatcher::WatchSpeeds(ClockReading now) -> void {
  if (now.steady < next_speeds_at_) {
    return;
  }
  next_speeds_at_ = now.steady + kComparePeriodMs;
  // Runs away from the rack of their data are slower for that alone.
  std::map<std::tuple<const Job*, const Step*, bool>, std::vector<RunSpeed>>
      speeds;
  for (const auto& [id, session] : sessions_) {
    ++load_.sessions;
    for (const auto& [task, run] : session.runs()) {
      ++load_.runs;
      auto* job = job_table_.FindJob(task.job);
      if (!run.recent_speed || !session.is_answering() || job == nullptr ||
          IsEnded(job->phase)) {
        continue;
      }
      const auto* step = job->FindStep(task);
      if (step != nullptr && !job->SpecOf(*step).gang) {
        const auto& data_rack = job->SpecOf(*step).data_rack;
        const auto is_away =
            !data_rack.empty() && session.info().rack != data_rack;
        speeds[{job, step, is_away}].push_back({id, *run.recent_speed});
      }
    }
  }
  for (const auto& [step, runs] : speeds) {
    slow_workers_.Compare(runs, now.steady);
  }
  for (const auto& worker : slow_workers_.TakeFound(now.steady)) {
    RecordDecision(core::Event::kWorkerCordoned,
                   {{"worker", worker}, {"reason", "its runs are slow"}});
  }
  if (slow_workers_.MayAvoid(now.steady)) {
    MoveSlowRuns(now);
  }
}

auto Dispatcher::IsWorthMoving(const Run& run, const Job& job) const -> bool {
  const auto& spec = job.spec.steps[static_cast<std::size_t>(run.task.step)];
  if (run.phase != RunPhase::kRunning || !run.recent_speed ||
      spec.long_running || run.percent >= kWholePercent) {
    return false;
  }
  const auto left = kWholePercent - run.percent;
  const auto part = spec.checkpoints ? left / kWholePercent : 1;
  const auto elsewhere =
      part * static_cast<double>(ExpectedRunMs(job, spec, estimates_));
  return left > *run.recent_speed * (kMinGain * elsewhere + kMoveMs);
}

auto Dispatcher::MoveSlowRuns(ClockReading now) -> void {
  std::vector<TaskId> slow;
  for (const auto& [id, session] : sessions_) {
    if (!session.is_answering() || !slow_workers_.IsSlow(id, now.steady)) {
      continue;
    }
    for (const auto& [task, run] : session.runs()) {
      ++load_.runs;
      const auto* job = job_table_.FindJob(task.job);
      if (job != nullptr && !IsEnded(job->phase) && IsWorthMoving(run, *job)) {
        slow.push_back(task);
      }
    }
  }
  for (const auto& id : slow) {
    auto* job = job_table_.FindJob(id.job);
    auto* step = job->FindStep(id);
    const auto is_gang = job->SpecOf(*step).gang;
    const auto* task = job->FindTask(id);
    auto& counted =
        step->tasks[is_gang ? 0 : static_cast<std::size_t>(id.index)];
    if (task->phase != TaskPhase::kPlaced || counted.slow_moves >= kMaxMoves) {
      continue;
    }
    ++counted.slow_moves;
    RecordDecision(core::Event::kRunMoved, {{"job", id.job},
                                            {"task", id.index},
                                            {"attempt", task->attempt},
                                            {"worker", task->worker},
                                            {"reason", "slow"}});
    if (is_gang) {
      StopStep(*job, *step, StopCause::kSlow, now);
    } else {
      StopRun(id, StopCause::kSlow, now);
    }
  }
}

}  // namespace kcm::dispatch
