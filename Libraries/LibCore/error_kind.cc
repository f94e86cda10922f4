#include "LibCore/error_kind.h"

#include <array>

#include "LibCore/check.h"

namespace kcm::core {

namespace {

constexpr std::array kErrors = {
    ErrorInfo{ErrorKind::kNone, "none", 200, Conclusion::kDone, false},
    ErrorInfo{ErrorKind::kBadInput, "bad_input", 400, Conclusion::kNotRun,
              false},
    ErrorInfo{ErrorKind::kBadToken, "bad_token", 401, Conclusion::kNotRun,
              false},
    ErrorInfo{ErrorKind::kForbidden, "forbidden", 403, Conclusion::kNotRun,
              false},
    ErrorInfo{ErrorKind::kNotFound, "not_found", 404, Conclusion::kNotRun,
              false},
    ErrorInfo{ErrorKind::kGone, "gone", 410, Conclusion::kNotRun, false},
    ErrorInfo{ErrorKind::kConflict, "conflict", 409, Conclusion::kNotRun,
              false},
    ErrorInfo{ErrorKind::kNeverFits, "never_fits", 422, Conclusion::kNotRun,
              false},
    ErrorInfo{ErrorKind::kOverLimit, "over_limit", 429, Conclusion::kNotRun,
              true},
    ErrorInfo{ErrorKind::kQueueFull, "queue_full", 429, Conclusion::kNotRun,
              true},
    ErrorInfo{ErrorKind::kTooLate, "too_late", 503, Conclusion::kNotRun, true},
    ErrorInfo{ErrorKind::kNoEndpoint, "no_endpoint", 503, Conclusion::kNotRun,
              true},
    ErrorInfo{ErrorKind::kLogDown, "log_down", 503, Conclusion::kNotRun, true},
    ErrorInfo{ErrorKind::kDraining, "draining", 503, Conclusion::kNotRun, true},
    ErrorInfo{ErrorKind::kEndpointFailed, "endpoint_failed", 502,
              Conclusion::kFailed, false},
    ErrorInfo{ErrorKind::kOutcomeUnknown, "outcome_unknown", 504,
              Conclusion::kUnknown, false},
    ErrorInfo{ErrorKind::kInternal, "internal", 500, Conclusion::kUnknown,
              false},
};

constexpr std::array<std::string_view, 4> kConclusionNames = {
    "done", "not_run", "failed", "unknown"};

}  // namespace

auto ErrorInfoOf(ErrorKind kind) -> const ErrorInfo& {
  const auto index = static_cast<std::size_t>(kind);
  KCM_CHECK(index < kErrors.size());
  KCM_CHECK(kErrors[index].kind == kind);
  return kErrors[index];
}

auto ErrorKindOf(std::string_view name) -> ErrorKind {
  for (const auto& error : kErrors) {
    if (error.name == name) {
      return error.kind;
    }
  }
  return ErrorKind::kInternal;
}

auto NameOf(Conclusion conclusion) -> std::string_view {
  return kConclusionNames[static_cast<std::size_t>(conclusion)];
}

}  // namespace kcm::core
