#include "LibEntry/holder_request.h"

#include <utility>

#include "LibCore/member_reader.h"

namespace kcm::entry {

namespace {

using core::Json;

/// The id is a part of keys of the store, which have at most 255 bytes.
constexpr std::size_t kMaxJobIdBytes = 64;

/// @return whether a request cannot be handled, for `reason`.
auto HasFault(const HolderRequest& request, core::Reason& reason) -> bool {
  if (request.job.empty() || request.job.size() > kMaxJobIdBytes) {
    reason = {core::ErrorKind::kBadInput, "job",
              "The id of the job is empty or too long."};
    return true;
  }
  if (request.verb != JobVerb::kSubmit) {
    return false;
  }
  if (request.spec.id != request.job) {
    reason = {core::ErrorKind::kBadInput, "spec",
              "The specification is that of another job."};
    return true;
  }
  if (request.spec.queue != request.caller.queue ||
      request.spec.account != request.caller.account) {
    reason = {core::ErrorKind::kBadInput, "spec",
              "The specification is that of another queue or account."};
    return true;
  }
  return !dispatch::CheckJobSpec(request.spec, reason);
}

}  // namespace

auto DecodeHolderRequest(const std::string& text, core::Reason& reason)
    -> std::optional<HolderRequest> {
  const auto document = core::ParseJson(text);
  std::string verb;
  core::MemberReader members(document);
  members.Require({"verb", "job", "queue", "account"});
  members.Read("verb", verb);
  if (!members.Check("the request", reason)) {
    return std::nullopt;
  }
  if (!core::ValueOf<JobVerb>(verb) || !core::HasOnlyNumbersInRange(document)) {
    return reason.Fail(core::ErrorKind::kBadInput, "body",
                       "The verb is not known or a number is out of range.");
  }
  try {
    auto request = document.get<HolderRequest>();
    return HasFault(request, reason) ? std::nullopt
                                     : std::optional(std::move(request));
  } catch (const Json::exception& error) {
    return reason.Fail(core::ErrorKind::kBadInput, "body", error.what());
  }
}

auto DecodeHolderAnswer(const std::string& text, core::Reason& reason)
    -> std::optional<HolderAnswer> {
  const auto document = core::ParseJson(text);
  std::string error;
  std::string phase;
  HolderAnswer answer;
  core::MemberReader members(document);
  members.Require({"error", "phase"});
  members.Read("error", error);
  members.Read("phase", phase);
  members.Read("not_holder", answer.not_holder);
  if (!members.Check("the answer", reason)) {
    return std::nullopt;
  }
  const auto known = core::ValueOf<dispatch::JobPhase>(phase);
  if (!known) {
    return reason.Fail(core::ErrorKind::kBadInput, "phase",
                       "The phase " + phase + " is not known.");
  }
  answer.error = core::ErrorKindOf(error);
  answer.phase = *known;
  return answer;
}

}  // namespace kcm::entry
