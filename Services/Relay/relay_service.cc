#include "relay_service.h"

#include <algorithm>
#include <utility>

#include "LibCore/clock.h"

namespace kcm::relay {

namespace {

constexpr core::Millis kFollowerLease = 2000;
constexpr core::Millis kChoosePeriod = 100;
/// A relay that just started has not heard the others yet.
constexpr core::Millis kSettleSpan = 600;
constexpr std::size_t kMaxRecordsPerBatch = 512;

}  // namespace

auto RelayService::create(node::Node& node, core::Reason& /*reason*/)
    -> std::unique_ptr<node::Service> {
  return std::make_unique<RelayService>(node);
}

RelayService::RelayService(node::Node& node)
    : node_(node),
      heartbeats_(node.loop(),
                  node.bus(),
                  node.PeersOf(node::Role::kRelay, node.settings().region)),
      reader_(node),
      started_at_(core::MonotonicNow()) {
  node.log().OnApplied([this](const node::AppliedRecord& applied) {
    buffers_[applied.stream].Add(applied.offset, applied.raw);
    if (!std::exchange(push_due_, true)) {
      node_.loop().After(0, [this] { PushAll(); });
    }
  });
  node.log().OnSnapshot(
      [this](const std::string& stream) { buffers_[stream].Clear(); });
  node.bus().OnMessage(
      "follow", [this](const net::BusMessage& message) { OnFollow(message); });
  follower_ = std::make_unique<node::LogFollower>(
      node.loop(), node.bus(), node.log(), [this](core::Millis /*silent*/) {
        const auto reader = ChooseReader();
        return reader == node_.self() ? std::string() : reader;
      });
  node.loop().Every(kChoosePeriod, [this] {
    const bool settled = core::MonotonicNow() - started_at_ > kSettleSpan;
    reader_.SetActive(settled && ChooseReader() == node_.self());
  });
}

auto RelayService::ChooseReader() const -> std::string {
  auto first = node_.self();
  for (const auto& peer : heartbeats_.Alive()) {
    first = std::min(first, peer);
  }
  return first;
}

auto RelayService::OnFollow(const net::BusMessage& message) -> void {
  auto& follower = followers_[message.from];
  follower.heard_at = core::MonotonicNow();
  message.body.at("next").get_to(follower.next);
  SendMissing(message.from, follower, true);
}

auto RelayService::SendMissing(const std::string& name,
                               Follower& follower,
                               bool always) -> void {
  core::Json streams = core::Json::object();
  for (auto& [stream, next] : follower.next) {
    const auto own_next = node_.log().NextOffset(stream);
    if (next >= own_next) {
      continue;
    }
    const auto records = buffers_[stream].From(next, kMaxRecordsPerBatch);
    if (records) {
      streams[stream] = {{"first", next}, {"records", *records}};
      next += static_cast<std::int64_t>(records->size());
      continue;
    }
    streams[stream] = {
        {"snapshot", node_.log().world().FindFold(stream)->ToSnapshot()}};
    next = own_next;
  }
  if (always || !streams.empty()) {
    node_.bus().Send(
        name, "log_batch",
        {{"streams", streams}, {"reachable", reader_.reachable()}});
  }
}

auto RelayService::PushAll() -> void {
  push_due_ = false;
  const auto now = core::MonotonicNow();
  std::erase_if(followers_, [now](const auto& entry) {
    return now - entry.second.heard_at > kFollowerLease;
  });
  for (auto& [name, follower] : followers_) {
    SendMissing(name, follower, false);
  }
}

auto RelayService::Drain(std::function<void()> done) -> void {
  heartbeats_.SayLeaving();
  reader_.SetActive(false);
  // The parting message has to leave before the process does.
  node_.loop().After(kChoosePeriod, std::move(done));
}

}  // namespace kcm::relay
