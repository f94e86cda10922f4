#pragma once

#include <array>
#include <cstdint>
#include <string>

#include "LibCore/enum_names.h"
#include "LibDispatch/job_owner.h"

namespace kcm::entry {

/// Who makes a call about a job, by the routes in force where it arrived.
struct JobCaller {
  /// Queue of the call's route.
  std::string queue;
  /// Client account of the call's token; empty without a token.
  std::string account;
  /// Callers of the queue need no token.
  bool is_public = false;
};

/// Whether a call may read, cancel or repeat a job.
enum class JobAccess : std::uint8_t { kAllowed, kOtherQueue, kOtherAccount };

/// Decides whether a caller may see a job.
///
/// A job belongs to the queue that it was submitted to, and on a queue that is
/// not public also to the account of its caller. On a public queue a call with
/// a token sees no less than one without. A job that was submitted without a
/// token is open to all callers of its queue, also once that is not public any
/// more: nobody else could read it.
[[nodiscard]] auto CheckJobAccess(const dispatch::JobOwner& owner,
                                  const JobCaller& caller) -> JobAccess;

}  // namespace kcm::entry

template <>
struct kcm::core::EnumNames<kcm::entry::JobAccess> {
  using Enum = kcm::entry::JobAccess;
  static constexpr std::array<EnumName<Enum>, 3> kRows = {{
      {Enum::kAllowed, "allowed"},
      {Enum::kOtherQueue, "other_queue"},
      {Enum::kOtherAccount, "other_account"},
  }};
};
