#include "scheduler_service.h"

#include <utility>

#include "LibNode/relay_choice.h"

namespace kcm::scheduler {

namespace {

/// Lets the leaving heartbeat out before the process exits.
constexpr core::Millis kDrainDelayMs = 100;

}  // namespace

auto SchedulerService::create(node::Node& node, core::Reason& /*reason*/)
    -> std::unique_ptr<node::Service> {
  return std::make_unique<SchedulerService>(node);
}

SchedulerService::SchedulerService(node::Node& node)
    : node_(node),
      heartbeats_(node.loop(),
                  node.bus(),
                  node.PeersOf(node::Role::kScheduler, node.settings().region)),
      follower_(node.loop(),
                node.bus(),
                node.log(),
                node::MakeRelaySelector(node)),
      workers_(node) {
  for (const auto& data_centre : node.DataCentresOf(node.settings().region)) {
    cells_[data_centre] = std::make_unique<CellScheduler>(
        node, heartbeats_, follower_, workers_, data_centre);
  }
  node.bus().OnMessage("explain", [this](const net::BusMessage& message) {
    const auto cell = cells_.find(message.body.value("data_centre", ""));
    if (cell != cells_.end()) {
      const auto text = cell->second->Explain(message.body.value("job", ""));
      node_.bus().Send(
          message.from, "explained",
          {{"ticket", message.body.value("ticket", std::int64_t{0})},
           {"text", text}});
    }
  });
}

auto SchedulerService::Drain(std::function<void()> done) -> void {
  for (auto& [data_centre, cell] : cells_) {
    cell->Resign();
  }
  heartbeats_.AnnounceLeaving();
  node_.loop().After(kDrainDelayMs, std::move(done));
}

}  // namespace kcm::scheduler
