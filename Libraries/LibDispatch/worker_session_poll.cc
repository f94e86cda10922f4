// Handling of poll answers: which runs exist and which are gone.

#include <algorithm>
#include <set>
#include <utility>

#include "LibDispatch/worker_session.h"

namespace kcm::dispatch {

namespace {

/// Interval between polls while reported ends or the deletion of a lease row
/// are not stored yet.
constexpr core::Millis kUnstoredPauseMs = 500;

}  // namespace

auto WorkerSession::OnPoll(const PollCall& call,
                           const CallResult& result,
                           core::Millis sent_at,
                           core::Millis now) -> std::vector<EndedRun> {
  (call.immediate ? immediate_poll_in_flight_ : waiting_poll_in_flight_) =
      false;
  std::vector<EndedRun> gone;
  if (result.end != CallEnd::kDone || !result.report ||
      result.report->incarnation != info_.incarnation) {
    ++unanswered_polls_;
    poll_failure_ = result.end;
    next_poll_at_ = now + kRepeatMs;
    return gone;
  }
  clock_.Observe(result.report->clock_ms, now);
  clock_.ObserveSince(result.report->clock_ms, sent_at);
  has_answered_ = true;
  unanswered_polls_ = 0;
  poll_failure_.reset();
  acknowledged_end_ = std::max(acknowledged_end_, call.acknowledged);
  ApplyReportedEnds(*result.report, gone);
  ApplyReportedRuns(*result.report, sent_at, now, gone);
  if (!call.immediate) {
    next_poll_at_ = reported_end_ > stored_end_ || grants_paused_
                        ? now + kUnstoredPauseMs
                        : now;
  }
  return gone;
}

auto WorkerSession::ApplyReportedEnds(const PollReport& report,
                                      std::vector<EndedRun>& gone) -> void {
  for (const auto& end : report.ended) {
    if (end.number <= reported_end_) {
      continue;
    }
    reported_end_ = end.number;
    begun_tasks_.push_back(end.task);
    orphan_runs_.erase({end.task, end.attempt});
    const auto found = runs_.find(end.task);
    EndedRun ended;
    if (found != runs_.end() && found->second.attempt == end.attempt) {
      ended = RemoveRun(end.task, end.how);
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

auto WorkerSession::ProvesAbsence(const Run& run, core::Millis sent_at) const
    -> bool {
  switch (run.phase) {
    case RunPhase::kAdopted:
      return true;
    case RunPhase::kStarting:
      return false;
    case RunPhase::kRunning:
      return run.confirmed_at && sent_at > *run.confirmed_at;
    case RunPhase::kStopping:
      // The poll that follows a stop may be sent in the same millisecond.
      return run.stop_confirmed_at && sent_at >= *run.stop_confirmed_at;
  }
  return false;
}

auto WorkerSession::ApplyReportedRuns(const PollReport& report,
                                      core::Millis sent_at,
                                      core::Millis now,
                                      std::vector<EndedRun>& gone) -> void {
  std::map<TaskId, const RunReport*> listed;
  std::set<OrphanRunKey> listed_orphans;
  for (const auto& row : report.running) {
    const auto found = runs_.find(row.task);
    if (found == runs_.end() || found->second.attempt != row.attempt) {
      const auto was_ended = std::any_of(
          report.ended.begin(), report.ended.end(), [&](const auto& end) {
            return end.task == row.task && end.attempt == row.attempt;
          });
      if (!was_ended) {
        if (orphan_runs_.try_emplace({row.task, row.attempt}).second) {
          begun_tasks_.push_back(row.task);
        }
        listed_orphans.emplace(row.task, row.attempt);
      }
      continue;
    }
    listed[row.task] = &row;
    auto& run = found->second;
    if (!std::exchange(run.listed, true)) {
      begun_tasks_.push_back(row.task);
    }
    if (run.phase == RunPhase::kAdopted || run.phase == RunPhase::kStarting) {
      run.adopted = run.phase == RunPhase::kAdopted;
      run.phase = RunPhase::kRunning;
      run.started_at = run.started_at.value_or(sent_at);
      run.confirmed_at = now;
    }
    if (row.percent >= run.percent) {
      run.reported_at = now;
    }
    run.RecordReport(row.percent, report.clock_ms);
    if (!row.checkpoint.empty()) {
      run.checkpoint = row.checkpoint;
    }
  }
  std::vector<TaskId> absent;
  for (auto& [task, run] : runs_) {
    if (listed.contains(task) || !ProvesAbsence(run, sent_at)) {
      continue;
    }
    if (report.has_all_ends) {
      absent.push_back(task);
    } else {
      // A later answer shows how it has ended.
      run.is_over = true;
    }
  }
  if (!report.has_all_ends) {
    return;
  }
  for (const auto& task : absent) {
    gone.push_back(RemoveRun(task, RunEnd::kLost));
  }
  std::erase_if(orphan_runs_, [&](const auto& entry) {
    const auto& [key, orphan] = entry;
    // A run that takes time to stop keeps its capacity until it is gone.
    return orphan.stop_confirmed_at && sent_at >= *orphan.stop_confirmed_at &&
           !listed_orphans.contains(key);
  });
}

auto WorkerSession::AcknowledgeEndsAfter(std::uint64_t batch) -> void {
  const auto newest = pending_acknowledgements_.empty()
                          ? stored_end_
                          : pending_acknowledgements_.back().number;
  if (reported_end_ > newest) {
    pending_acknowledgements_.push_back({batch, reported_end_});
  }
}

}  // namespace kcm::dispatch
