#include "LibState/job.h"

#include <array>

#include "LibCore/field_table.h"
#include "LibCore/json_decode.h"

namespace kcm::state {

namespace {

constexpr double kMaxRunMs = 1e10;

const std::array kJobFields = {
    core::Field<JobSpec>{"data_centre", &JobSpec::data_centre, true, 1,
                         kMaxNameLength, "data centre that runs the job"},
    core::Field<JobSpec>{"declared_run_ms", &JobSpec::declared_run_ms, false, 0,
                         kMaxRunMs, "expected run time"},
    core::Field<JobSpec>{"urgent", &JobSpec::urgent, false, 0, 1,
                         "whether to start within a second"},
    core::Field<JobSpec>{"idempotency_key", &JobSpec::idempotency_key, false, 0,
                         kMaxNameLength, "key of a repeated submission"},
};

}  // namespace

auto ReadJobSpec(const core::Json& document, core::Reason& reason)
    -> std::optional<JobSpec> {
  constexpr std::array<std::string_view, 3> kExtra = {"shape", "recovery",
                                                      "task"};
  auto spec = core::ReadFields<JobSpec>(kJobFields, document, kExtra, reason);
  if (!spec) {
    return std::nullopt;
  }
  if (!document.contains("shape")) {
    return reason.Fail(core::ErrorKind::kBadInput, "shape",
                       "shape is missing.");
  }
  const auto shape = ReadShape(document.at("shape"), reason);
  if (!shape) {
    reason.field = "shape." + reason.field;
    return std::nullopt;
  }
  spec->shape = *shape;
  if (document.contains("recovery")) {
    const auto& name = document.at("recovery");
    const auto recovery = name.is_string()
                              ? core::ValueOf<Recovery>(name.get<std::string>())
                              : std::nullopt;
    if (!recovery) {
      return reason.Fail(core::ErrorKind::kBadInput, "recovery",
                         "recovery is " + core::DescribeValue(name) +
                             "; allowed is " + core::AllNamesOf<Recovery>() +
                             ".");
    }
    spec->recovery = *recovery;
  }
  spec->task = document.value("task", core::Json::object());
  return spec;
}

}  // namespace kcm::state
