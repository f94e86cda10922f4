#include "LibNode/service.h"
#include "scheduler_service.h"

auto main(int argc, char** argv) -> int {
  return kcm::node::RunService(argc, argv, kcm::node::Role::kScheduler,
                               kcm::scheduler::SchedulerService::create);
}
