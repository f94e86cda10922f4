// What a worker's answer to a look proves.

#include <algorithm>
#include <utility>

#include "LibDispatch/worker_session.h"

namespace kcm::dispatch {

namespace {

/// Pause between looks while ends that were told are not stored yet.
constexpr core::Millis kUnstoredPauseMs = 500;

}  // namespace

auto WorkerSession::OnLook(const LookCall& call,
                           const CallResult& result,
                           core::Millis sent_at,
                           core::Millis now) -> std::vector<EndedRun> {
  (call.quick ? quick_look_ : waiting_look_) = false;
  std::vector<EndedRun> gone;
  if (result.end != CallEnd::kDone || !result.report ||
      result.report->life != info_.life) {
    ++silent_looks_;
    next_look_at_ = now + kRepeatMs;
    return gone;
  }
  clock_.Observe(result.report->clock_ms, now);
  greeted_ = true;
  silent_looks_ = 0;
  forgotten_ = std::max(forgotten_, call.seen);
  TakeEnds(*result.report, gone);
  TakeRunning(*result.report, sent_at, now, gone);
  if (!call.quick) {
    next_look_at_ = told_ > seen_ ? now + kUnstoredPauseMs : now;
  }
  return gone;
}

auto WorkerSession::TakeEnds(const LookReport& report,
                             std::vector<EndedRun>& gone) -> void {
  for (const auto& end : report.ended) {
    if (end.number <= told_) {
      continue;
    }
    told_ = end.number;
    strays_.erase({end.task, end.attempt});
    const auto found = runs_.find(end.task);
    EndedRun ended;
    if (found != runs_.end() && found->second.attempt == end.attempt) {
      ended = Erase(end.task, end.how);
    } else {
      ended.run.task = end.task;
      ended.run.attempt = end.attempt;
      ended.how = end.how;
    }
    if (!end.checkpoint.empty()) {
      ended.run.checkpoint = end.checkpoint;
    }
    gone.push_back(std::move(ended));
  }
}

auto WorkerSession::IsAbsenceProof(const Run& run, core::Millis sent_at) const
    -> bool {
  switch (run.phase) {
    case RunPhase::kAdopted:
      return true;
    case RunPhase::kStarting:
      return false;
    case RunPhase::kRunning:
      return run.seen_at && sent_at > *run.seen_at;
    case RunPhase::kStopping:
      // The look that follows a stop is sent in the same millisecond.
      return run.stopped_at && sent_at >= *run.stopped_at;
  }
  return false;
}

auto WorkerSession::TakeRunning(const LookReport& report,
                                core::Millis sent_at,
                                core::Millis now,
                                std::vector<EndedRun>& gone) -> void {
  std::map<TaskId, const RunReport*> listed;
  for (const auto& row : report.running) {
    const auto found = runs_.find(row.task);
    if (found == runs_.end() || found->second.attempt != row.attempt) {
      const auto was_ended = std::any_of(
          report.ended.begin(), report.ended.end(), [&](const auto& end) {
            return end.task == row.task && end.attempt == row.attempt;
          });
      if (!was_ended) {
        strays_.try_emplace({row.task, row.attempt});
      }
      continue;
    }
    listed[row.task] = &row;
    auto& run = found->second;
    run.listed = true;
    if (run.phase == RunPhase::kAdopted || run.phase == RunPhase::kStarting) {
      run.phase = RunPhase::kRunning;
      run.started_at = run.started_at.value_or(sent_at);
      run.seen_at = now;
      run.moved_at = now;
    }
    if (row.percent >= run.percent) {
      run.told_at = now;
    }
    if (row.percent > run.percent) {
      run.percent = row.percent;
      run.moved_at = now;
    }
    if (!row.checkpoint.empty()) {
      run.checkpoint = row.checkpoint;
    }
  }
  std::vector<TaskId> absent;
  for (const auto& [task, run] : runs_) {
    if (!listed.contains(task) && IsAbsenceProof(run, sent_at)) {
      absent.push_back(task);
    }
  }
  for (const auto& task : absent) {
    gone.push_back(Erase(task, RunEnd::kVanished));
  }
  std::erase_if(strays_, [&](const auto& entry) {
    const auto& [key, stray] = entry;
    return stray.stopped_at && sent_at >= *stray.stopped_at;
  });
}

auto WorkerSession::NoteEnds(std::uint64_t batch) -> void {
  const auto newest = notes_.empty() ? seen_ : notes_.back().number;
  if (told_ > newest) {
    notes_.push_back({batch, told_});
  }
}

}  // namespace kcm::dispatch
