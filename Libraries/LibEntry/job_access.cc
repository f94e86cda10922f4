#include "LibEntry/job_access.h"

namespace kcm::entry {

auto CheckJobAccess(const dispatch::JobOwner& owner, const JobCaller& caller)
    -> JobAccess {
  if (owner.queue != caller.queue) {
    return JobAccess::kOtherQueue;
  }
  if (caller.is_public || owner.account.empty() ||
      owner.account == caller.account) {
    return JobAccess::kAllowed;
  }
  return JobAccess::kOtherAccount;
}

}  // namespace kcm::entry
