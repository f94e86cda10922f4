#pragma once

#include <cstdint>
#include <string_view>

namespace kcm::core {

/// The closed list of what can go wrong. Each kind has one answer.
enum class ErrorKind : std::uint8_t {
  kNone,
  kBadInput,
  kBadToken,
  kForbidden,
  kNotFound,
  kGone,
  kConflict,
  kNeverFits,
  kOverLimit,
  kQueueFull,
  kTooLate,
  kNoEndpoint,
  kLogDown,
  kDraining,
  kEndpointFailed,
  kOutcomeUnknown,
  kInternal,
};

/// What a caller may conclude from an answer about its own request.
enum class Conclusion : std::uint8_t {
  kDone,
  kNotRun,
  kFailed,
  kUnknown,
};

/// The answer that belongs to one error kind.
struct ErrorAnswer {
  ErrorKind kind;
  std::string_view name;
  int http_status;
  Conclusion conclusion;
  bool retryable;
};

/// Looks up the answer to an error kind.
/// @param kind any kind of the closed list.
/// @return the row of the answer table.
auto AnswerOf(ErrorKind kind) -> const ErrorAnswer&;

/// Finds a kind by its name on the wire.
/// @param name for example "queue_full".
/// @return the kind, or kInternal for a name this version does not know.
auto ErrorKindOf(std::string_view name) -> ErrorKind;

/// Names a conclusion on the wire: done, not_run, failed, unknown.
auto NameOf(Conclusion conclusion) -> std::string_view;

}  // namespace kcm::core
