#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>

#include "LibCore/enum_names.h"
#include "LibCore/error_kind.h"
#include "LibCore/json.h"
#include "LibCore/reason.h"
#include "LibDispatch/job_phase.h"
#include "LibDispatch/job_spec.h"
#include "LibEntry/job_access.h"

namespace kcm::entry {

/// Operation on a job.
enum class JobVerb : std::uint8_t { kSubmit, kRead, kCancel };

/// One request about a job, sent to the term holder.
struct HolderRequest {
  JobVerb verb = JobVerb::kRead;
  std::string job;
  JobCaller caller;
  /// Version of the routes that allow the call; zero if it is not known.
  std::int64_t routes_version = 0;
  /// Set for a submission.
  dispatch::JobSpec spec;
};

struct HolderAnswer {
  /// kNone on success.
  core::ErrorKind error = core::ErrorKind::kNone;
  /// Valid on success.
  dispatch::JobPhase phase = dispatch::JobPhase::kQueued;
  /// The answering process does not hold the term; another one may.
  bool not_holder = false;
};

}  // namespace kcm::entry

template <>
struct kcm::core::EnumNames<kcm::entry::JobVerb> {
  using Enum = kcm::entry::JobVerb;
  static constexpr std::array<EnumName<Enum>, 3> kRows = {{
      {Enum::kSubmit, "submit"},
      {Enum::kRead, "read"},
      {Enum::kCancel, "cancel"},
  }};
};

namespace kcm::entry {

inline auto to_json(core::Json& document, const HolderRequest& request)
    -> void {
  document = {{"verb", request.verb},
              {"job", request.job},
              {"queue", request.caller.queue},
              {"account", request.caller.account},
              {"public", request.caller.is_public},
              {"routes_version", request.routes_version}};
  if (request.verb == JobVerb::kSubmit) {
    document["spec"] = request.spec;
  }
}

inline auto from_json(const core::Json& document, HolderRequest& request)
    -> void {
  request.verb = document.value("verb", JobVerb::kRead);
  request.job = document.value("job", "");
  request.caller = {document.value("queue", ""), document.value("account", ""),
                    document.value("public", false)};
  request.routes_version = document.value("routes_version", std::int64_t{0});
  if (const auto spec = document.find("spec"); spec != document.end()) {
    request.spec = spec->get<dispatch::JobSpec>();
  }
}

inline auto to_json(core::Json& document, const HolderAnswer& answer) -> void {
  document = {{"error", core::ErrorInfoOf(answer.error).name},
              {"phase", answer.phase},
              {"not_holder", answer.not_holder}};
}

inline auto from_json(const core::Json& document, HolderAnswer& answer)
    -> void {
  answer.error = core::ErrorKindOf(document.value("error", "internal"));
  answer.phase = document.at("phase").get<dispatch::JobPhase>();
  answer.not_holder = document.value("not_holder", false);
}

/// Decodes a request that another process relays.
/// @return the request, or nothing with `reason` of kind kBadInput if it is
///     malformed, does not name its caller's queue, or its job cannot be
///     handled; see dispatch::CheckJobSpec().
[[nodiscard]] auto DecodeHolderRequest(const std::string& text,
                                       core::Reason& reason)
    -> std::optional<HolderRequest>;

/// Decodes the answer to a relayed request.
/// @return the answer, or nothing with `reason` of kind kBadInput.
[[nodiscard]] auto DecodeHolderAnswer(const std::string& text,
                                      core::Reason& reason)
    -> std::optional<HolderAnswer>;

}  // namespace kcm::entry
