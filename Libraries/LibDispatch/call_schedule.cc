#include "LibDispatch/call_schedule.h"

namespace kcm::dispatch {

auto CallSchedule::Set(const std::string& worker,
                       std::optional<core::Millis> at) -> void {
  const auto old = times_.find(worker);
  if (old != times_.end()) {
    if (at == old->second) {
      return;
    }
    order_.erase({old->second, worker});
  }
  if (at) {
    times_[worker] = *at;
    order_.emplace(*at, worker);
  } else if (old != times_.end()) {
    times_.erase(old);
  }
}

auto CallSchedule::OnStored() -> void {
  for (const auto& worker : std::exchange(awaiting_store_, {})) {
    SetDueNow(worker);
  }
}

auto CallSchedule::TakeDue(core::Millis now) -> std::vector<std::string> {
  std::vector<std::string> due;
  while (!order_.empty() && order_.begin()->first <= now) {
    due.push_back(order_.begin()->second);
    times_.erase(due.back());
    order_.erase(order_.begin());
  }
  return due;
}

}  // namespace kcm::dispatch
