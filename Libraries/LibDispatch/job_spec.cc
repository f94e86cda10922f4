#include "LibDispatch/job_spec.h"

#include <algorithm>
#include <array>

#include "LibCore/member_reader.h"

namespace kcm::dispatch {

namespace {

struct NumberBound {
  const char* member;
  std::int64_t value;
  std::int64_t maximum;
};

auto IsInRange(const NumberBound& bound) -> bool {
  return bound.value >= 0 && bound.value <= bound.maximum;
}

/// @return the member of a step that is out of range, or nullptr.
auto FindInvalidMember(const StepSpec& step, std::int64_t number) -> const
    char* {
  const std::array bounds = {
      NumberBound{"tasks", step.tasks - 1, kMaxTasksPerJob - 1},
      NumberBound{"demand", step.demand.millicores, core::kMaxAmount},
      NumberBound{"demand", step.demand.memory_mb, core::kMaxAmount},
      NumberBound{"demand", step.demand.accelerators, core::kMaxAmount},
      NumberBound{"estimate_ms", step.estimate_ms, core::kMaxDurationMs},
      NumberBound{"max_per_worker", step.max_per_worker, core::kMaxAmount}};
  const auto* const wrong =
      std::find_if_not(bounds.begin(), bounds.end(), IsInRange);
  if (wrong != bounds.end()) {
    return wrong->member;
  }
  const auto is_earlier = [&](std::int64_t before) {
    return before >= 0 && before < number;
  };
  return std::all_of(step.after.begin(), step.after.end(), is_earlier)
             ? nullptr
             : "after";
}

auto FindInvalidMember(const JobSpec& spec) -> const char* {
  const std::array bounds = {
      NumberBound{"repeats", spec.repeats, kMaxTasksPerJob},
      NumberBound{"first_due_at", spec.first_due_at, core::kMaxNumber},
      NumberBound{"period_ms", spec.period_ms, core::kMaxDurationMs},
      NumberBound{"accepted_at", spec.accepted_at, core::kMaxNumber}};
  const auto* const wrong =
      std::find_if_not(bounds.begin(), bounds.end(), IsInRange);
  if (wrong != bounds.end()) {
    return wrong->member;
  }
  std::int64_t tasks = 0;
  for (const auto& step : spec.steps) {
    const auto number = &step - spec.steps.data();
    if (const auto* member = FindInvalidMember(step, number)) {
      return member;
    }
    tasks += step.tasks;
  }
  return spec.steps.empty() || tasks * std::max<std::int64_t>(spec.repeats, 1) >
                                   kMaxTasksPerJob
             ? "steps"
             : nullptr;
}

}  // namespace

auto to_json(core::Json& document, const StepSpec& step) -> void {
  static const StepSpec defaults;
  document = core::Json::object();
  ForEachField([&](const char* name, auto member) {
    if (step.*member != defaults.*member) {
      document[name] = step.*member;
    }
  });
}

auto from_json(const core::Json& document, StepSpec& step) -> void {
  step = {};
  ForEachField([&](const char* name, auto member) {
    if (const auto field = document.find(name); field != document.end()) {
      field->get_to(step.*member);
    }
  });
}

auto CheckJobSpec(const JobSpec& spec, core::Reason& reason) -> bool {
  const auto* member = FindInvalidMember(spec);
  if (member == nullptr) {
    return true;
  }
  reason = {core::ErrorKind::kBadInput, member,
            std::string(member) + " of the job is out of range."};
  return false;
}

}  // namespace kcm::dispatch
