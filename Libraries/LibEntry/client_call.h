#pragma once

#include <array>
#include <cstdint>
#include <string>

#include "LibCore/clock.h"
#include "LibCore/enum_names.h"
#include "LibCore/reason.h"
#include "LibDispatch/job_phase.h"

namespace kcm::entry {

/// Operation on a job or a queue.
enum class ClientVerb : std::uint8_t { kSubmit, kRead, kCancel, kOther };

/// One decoded client call.
struct ClientCall {
  ClientVerb verb = ClientVerb::kOther;
  std::string host;
  std::string path;
  /// Authenticates the client account; may be empty.
  std::string token;
  std::string body;
  /// How long the caller waits; zero if not stated.
  core::Millis timeout_ms = 0;
};

/// Answer to a client call.
struct ClientAnswer {
  /// Which member holds the result: none, `phase` or `pending`.
  enum class Content : std::uint8_t { kNothing, kPhase, kPending };

  core::Reason reason;
  Content content = Content::kNothing;
  dispatch::JobPhase phase = dispatch::JobPhase::kQueued;
  /// Number of the queue's jobs in phase kQueued.
  std::int64_t pending = 0;
  /// Delay before a retry; zero if a retry is not advised.
  core::Millis retry_after_ms = 0;
};

}  // namespace kcm::entry

template <>
struct kcm::core::EnumNames<kcm::entry::ClientVerb> {
  using Enum = kcm::entry::ClientVerb;
  static constexpr std::array<EnumName<Enum>, 4> kRows = {{
      {Enum::kSubmit, "submit"},
      {Enum::kRead, "read"},
      {Enum::kCancel, "cancel"},
      {Enum::kOther, "other"},
  }};
};
