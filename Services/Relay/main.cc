#include "LibNode/service.h"
#include "relay_service.h"

auto main(int argc, char** argv) -> int {
  return kcm::node::RunService(argc, argv, kcm::node::Role::kRelay,
                               kcm::relay::RelayService::create);
}
