#pragma once

#include <cstdint>
#include <string_view>

namespace kcm::core {

/// All errors that a call can end with.
enum class ErrorKind : std::uint8_t {
  kNone,
  kBadInput,
  kBadToken,
  kForbidden,
  kNotFound,
  /// There is no such job, or the caller may not see it.
  kGone,
  kConflict,
  /// A job does not fit in its data centre even if all workers are free, or a
  /// guarantee does not fit beside the other guarantees.
  kNeverFits,
  kOverLimit,
  kQueueFull,
  /// The request cannot start, or end, before its deadline.
  kTooLate,
  kNoEndpoint,
  /// The platform's append-only log, which holds the shared state, does not
  /// accept records or its state is out of date.
  kLogDown,
  kDraining,
  kEndpointFailed,
  kOutcomeUnknown,
  kInternal,
};

/// What a response says about the effect of the request.
enum class Conclusion : std::uint8_t {
  kDone,
  kNotRun,
  kFailed,
  kUnknown,
};

/// Name, HTTP status and conclusion of one error kind.
struct ErrorInfo {
  ErrorKind kind;
  std::string_view name;
  int http_status;
  Conclusion conclusion;
  bool retryable;
};

/// Looks up the name, HTTP status and conclusion of an error kind.
auto ErrorInfoOf(ErrorKind kind) -> const ErrorInfo&;

/// Finds a kind by its name on the wire, for example "queue_full".
/// @return the kind, or kInternal for a name unknown to this version.
auto ErrorKindOf(std::string_view name) -> ErrorKind;

/// @return the name on the wire: done, not_run, failed or unknown.
auto NameOf(Conclusion conclusion) -> std::string_view;

}  // namespace kcm::core
