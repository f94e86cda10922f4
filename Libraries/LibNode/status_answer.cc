#include "LibNode/status_answer.h"

#include "LibNode/node.h"

namespace kcm::node {

namespace {

auto BuildStatus(Node& node) -> core::Json {
  const auto& world = node.log().cluster_state();
  core::Json offsets = core::Json::object();
  for (const auto& stream : world.streams()) {
    offsets[stream] = node.log().NextOffset(stream);
  }
  core::Json schedules = core::Json::array();
  for (const auto& data_centre : node.DataCentresOf("")) {
    if (world.FindCell(data_centre)->term().holder == node.self()) {
      schedules.push_back(data_centre);
    }
  }
  return {{"table_version", world.table().version()},
          {"next_offsets", offsets},
          {"schedules", schedules}};
}

}  // namespace

auto RegisterStatusHandler(Node& node) -> void {
  node.bus().OnMessage("status_ask", [&node](const net::BusMessage& message) {
    auto answer = BuildStatus(node);
    answer["ask"] = message.body.at("ask");
    node.bus().Send(message.from, "status_answer", answer);
  });
}

}  // namespace kcm::node
