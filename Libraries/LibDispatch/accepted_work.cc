#include "LibDispatch/accepted_work.h"

#include <algorithm>

#include "LibDispatch/job.h"

namespace kcm::dispatch {

namespace {

/// What the allocator adds to the lists and texts of a step or job, and the
/// places of a job in tables.
constexpr std::size_t kAllocatorBytes = 96;
constexpr std::size_t kTableBytes = 512;

}  // namespace

auto BytesOfSpec(const JobSpec& spec) -> std::size_t {
  auto bytes = sizeof(JobSpec) + kTableBytes + spec.payload.size();
  for (const auto& step : spec.steps) {
    bytes += sizeof(StepSpec) + step.after.size() * sizeof(std::int64_t) +
             step.required_label.size() + step.data_rack.size();
  }
  return bytes;
}

auto BytesOfJob(const JobSpec& spec) -> std::size_t {
  std::size_t once = 0;
  for (const auto& step : spec.steps) {
    once += sizeof(Step) + kAllocatorBytes +
            static_cast<std::size_t>(step.tasks) * sizeof(Task);
  }
  const auto occurrences = std::max<std::int64_t>(spec.repeats, 1);
  return sizeof(Job) + BytesOfSpec(spec) +
         once * static_cast<std::size_t>(occurrences);
}

auto AcceptedWork::Add(const std::string& account, std::size_t bytes) -> void {
  bytes_ += bytes;
  by_account_[account] += bytes;
}

auto AcceptedWork::Remove(const std::string& account, std::size_t bytes)
    -> void {
  bytes_ -= bytes;
  const auto held = by_account_.find(account);
  held->second -= bytes;
  if (held->second == 0) {
    by_account_.erase(held);
  }
}

auto AcceptedWork::HasRoomFor(const std::string& account,
                              std::size_t bytes,
                              std::size_t limit) const -> bool {
  return bytes_ + BytesOf(account) + bytes <= limit;
}

auto AcceptedWork::BytesOf(const std::string& account) const -> std::size_t {
  const auto held = by_account_.find(account);
  return held == by_account_.end() ? 0 : held->second;
}

}  // namespace kcm::dispatch
