// Data centres in which the operators let no task start.

#include <algorithm>
#include <utility>
#include <vector>

#include "LibDispatch/dispatcher.h"

namespace kcm::dispatch {

auto Dispatcher::SetEvacuated(std::set<std::string> data_centres,
                              ClockReading now) -> void {
  if (data_centres == evacuated_) {
    return;
  }
  const auto former = std::exchange(evacuated_, std::move(data_centres));
  const auto withdrawn = WithdrawEvacuatedStarts(now);
  UpdateFleetSize();
  next_plan_at_ = 0;
  for (const auto& data_centre : evacuated_) {
    if (!former.contains(data_centre)) {
      RecordDecision(
          core::Event::kDataCentreEvacuated,
          {{"data_centre", data_centre}, {"withdrawn_starts", withdrawn}});
    }
  }
  for (const auto& data_centre : former) {
    if (!evacuated_.contains(data_centre)) {
      RecordDecision(core::Event::kDataCentreRestored,
                     {{"data_centre", data_centre}});
    }
  }
}

auto Dispatcher::WithdrawEvacuatedStarts(ClockReading now) -> std::size_t {
  std::vector<TaskId> not_begun;
  if (evacuated_.empty()) {
    return 0;
  }
  for (const auto& [id, session] : sessions_) {
    if (!IsEvacuated(session.info())) {
      continue;
    }
    for (const auto& [task, run] : session.runs()) {
      if (run.phase == RunPhase::kStarting) {
        not_begun.push_back(task);
      }
    }
  }
  for (const auto& id : not_begun) {
    auto* job = job_table_.FindJob(id.job);
    auto* step = job == nullptr ? nullptr : job->FindStep(id);
    if (step != nullptr && job->SpecOf(*step).gang) {
      StopStep(*job, *step, StopCause::kEvacuated, now);
    } else {
      StopRun(id, StopCause::kEvacuated, now);
    }
  }
  return not_begun.size();
}

auto Dispatcher::UpdateFleetSize() -> void {
  const auto size = static_cast<std::size_t>(std::count_if(
      sessions_.begin(), sessions_.end(), [this](const auto& entry) {
        return entry.second.is_listed() && !IsEvacuated(entry.second.info());
      }));
  health_.set_fleet_size(size);
  slow_workers_.set_fleet_size(size);
}

}  // namespace kcm::dispatch
