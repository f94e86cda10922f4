#pragma once

#include <map>
#include <memory>
#include <string>

#include "LibNode/heartbeats.h"
#include "LibNode/log_follower.h"
#include "LibNode/service.h"
#include "cell_scheduler.h"
#include "worker_directory.h"

namespace kcm::scheduler {

/// Schedules each data centre of the region of which this process holds the
/// term, the period in which one scheduler places its jobs.
class SchedulerService final : public node::Service {
 public:
  [[nodiscard]] static auto create(node::Node& node, core::Reason& reason)
      -> std::unique_ptr<node::Service>;

  explicit SchedulerService(node::Node& node);

  auto Drain(std::function<void()> done) -> void override;

 private:
  node::Node& node_;
  node::Heartbeats heartbeats_;
  node::LogFollower follower_;
  WorkerDirectory workers_;
  std::map<std::string, std::unique_ptr<CellScheduler>> cells_;
};

}  // namespace kcm::scheduler
