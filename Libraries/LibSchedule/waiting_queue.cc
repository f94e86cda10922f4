#include "LibSchedule/waiting_queue.h"

namespace kcm::schedule {

auto WaitingQueue::Insert(WaitingJob job) -> void {
  Erase(job.id);
  accounts_[job.account][job.job_class].insert({job.rank, job.id});
  const auto id = job.id;
  jobs_.emplace(id, std::move(job));
}

auto WaitingQueue::Erase(const std::string& id) -> bool {
  const auto found = jobs_.find(id);
  if (found == jobs_.end()) {
    return false;
  }
  const auto& job = found->second;
  const auto account = accounts_.find(job.account);
  const auto classes = account->second.find(job.job_class);
  classes->second.erase({job.rank, job.id});
  if (classes->second.empty()) {
    account->second.erase(classes);
  }
  if (account->second.empty()) {
    accounts_.erase(account);
  }
  jobs_.erase(found);
  return true;
}

auto WaitingQueue::Find(const std::string& id) -> WaitingJob* {
  const auto found = jobs_.find(id);
  return found == jobs_.end() ? nullptr : &found->second;
}

auto WaitingQueue::Find(const std::string& id) const -> const WaitingJob* {
  const auto found = jobs_.find(id);
  return found == jobs_.end() ? nullptr : &found->second;
}

}  // namespace kcm::schedule
