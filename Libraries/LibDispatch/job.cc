#include "LibDispatch/job.h"

#include <algorithm>
#include <utility>

namespace kcm::dispatch {

auto MakeJob(JobSpec spec) -> Job {
  Job job;
  job.spec = std::move(spec);
  const auto occurrences = std::max<std::int64_t>(job.spec.repeats, 1);
  for (std::int64_t occurrence = 0; occurrence < occurrences; ++occurrence) {
    for (std::size_t number = 0; number < job.spec.steps.size(); ++number) {
      Step step;
      step.spec = number;
      step.occurrence = occurrence;
      if (job.spec.repeats > 0) {
        step.due_at = job.spec.first_due_at + occurrence * job.spec.period_ms;
      }
      step.tasks.resize(static_cast<std::size_t>(job.spec.steps[number].tasks));
      job.steps.push_back(std::move(step));
    }
  }
  return job;
}

auto Job::FindStep(const TaskId& id) -> Step* {
  const auto count = static_cast<std::int64_t>(spec.steps.size());
  const auto occurrences = std::max<std::int64_t>(spec.repeats, 1);
  if (id.step < 0 || id.step >= count || id.occurrence < 0 ||
      id.occurrence >= occurrences) {
    return nullptr;
  }
  const auto position =
      static_cast<std::size_t>(id.occurrence * count + id.step);
  return position < steps.size() ? &steps[position] : nullptr;
}

auto Job::FindTask(const TaskId& id) -> Task* {
  auto* step = FindStep(id);
  if (step == nullptr || id.index < 0 ||
      id.index >= static_cast<std::int64_t>(step->tasks.size())) {
    return nullptr;
  }
  return &step->tasks[static_cast<std::size_t>(id.index)];
}

auto Job::IsUnblocked(const Step& step) const -> bool {
  const auto first =
      static_cast<std::size_t>(step.occurrence) * spec.steps.size();
  return std::all_of(
      SpecOf(step).after.begin(), SpecOf(step).after.end(),
      [&](std::int64_t number) {
        const auto& before = steps[first + static_cast<std::size_t>(number)];
        return before.done == static_cast<std::int64_t>(before.tasks.size());
      });
}

auto Job::IsDone() const -> bool {
  return std::all_of(steps.begin(), steps.end(), [](const Step& step) {
    return step.done == static_cast<std::int64_t>(step.tasks.size());
  });
}

}  // namespace kcm::dispatch
