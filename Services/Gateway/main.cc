#include "LibNode/service.h"
#include "gateway_service.h"

auto main(int argc, char** argv) -> int {
  return kcm::node::RunService(argc, argv, kcm::node::Role::kGateway,
                               kcm::gateway::GatewayService::create);
}
