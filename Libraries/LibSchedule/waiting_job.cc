#include "LibSchedule/waiting_job.h"

#include <tuple>

namespace kcm::schedule {

auto operator<(const JobClass& left, const JobClass& right) -> bool {
  const auto key = [](const JobClass& job) {
    const auto& shape = job.shape;
    return std::tuple(shape.members, shape.accelerators, shape.cores,
                      shape.memory_mb, shape.adjacency, job.urgent,
                      job.preemptible);
  };
  return key(left) < key(right);
}

}  // namespace kcm::schedule
