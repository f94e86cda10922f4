#include "relay_service.h"

#include <algorithm>
#include <utility>

#include "LibCore/clock.h"
#include "LibCore/event.h"
#include "LibMember/reader_choice.h"

namespace kcm::relay {

namespace {

constexpr core::Millis kFollowerTimeoutMs = 2000;
constexpr core::Millis kRoleUpdatePeriodMs = 100;
/// A relay that just started has not received the others' heartbeats yet.
constexpr core::Millis kMinRunningMs = 600;
/// Time without confirmation after which the next remote relay is followed.
constexpr core::Millis kRemoteRelayTimeoutMs = 1000;
constexpr std::size_t kMaxRecordsPerBatch = 512;

/// Followers do not need the text of a snapshot record.
auto WithoutText(const node::AppliedRecord& applied) -> core::Json {
  auto raw = applied.raw;
  if (applied.record.kind == state::RecordKind::kSnapshot) {
    raw["body"].erase("text");
  }
  return raw;
}

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
      publisher_(node),
      started_at_(core::MonotonicNow()) {
  node.log().OnApplied(
      [this](const node::AppliedRecord& applied) { OnRecord(applied); });
  node.log().OnSnapshot(
      [this](const std::string& stream) { buffers_[stream].Clear(); });
  node.bus().OnMessage(
      "follow", [this](const net::BusMessage& message) { OnFollow(message); });
  const auto own_region =
      node.PeersOf(node::Role::kRelay, node.settings().region);
  for (auto& relay : node.PeersOf(node::Role::kRelay, "")) {
    if (std::find(own_region.begin(), own_region.end(), relay) ==
        own_region.end()) {
      remote_relays_.push_back(std::move(relay));
    }
  }
  follower_ = std::make_unique<node::LogFollower>(
      node.loop(), node.bus(), node.log(),
      [this](core::Millis silent_ms) { return ChooseSource(silent_ms); });
  node.loop().Every(kRoleUpdatePeriodMs, [this] { UpdateRole(); });
}

auto RelayService::OnRecord(const node::AppliedRecord& applied) -> void {
  buffers_[applied.stream].Add(applied.offset, WithoutText(applied));
  if (!std::exchange(push_scheduled_, true)) {
    node_.loop().After(0, [this] { PushToFollowers(); });
  }
}

auto RelayService::UpdateRole() -> void {
  const bool ran_long_enough =
      core::MonotonicNow() - started_at_ > kMinRunningMs;
  reader_.SetActive(ran_long_enough && ChooseReader() == node_.self());
  UpdateReady();
  heartbeats_.SetStatus(ready_, reader_.reachable());
  if (reader_.active() && reader_.reachable() && ready_) {
    publisher_.PublishDueSnapshots();
  }
}

auto RelayService::ChooseReader() const -> std::string {
  std::vector<member::RelayStatus> alive = {
      {node_.self(), ready_, reader_.reachable()}};
  for (const auto& peer : heartbeats_.AlivePeers()) {
    const auto heartbeat = heartbeats_.LastHeartbeatOf(peer);
    alive.push_back({peer, heartbeat.ready, heartbeat.reachable});
  }
  return member::ChooseReader(alive);
}

auto RelayService::ChooseSource(core::Millis silent_ms) -> std::string {
  auto reader = ChooseReader();
  if (reader != node_.self()) {
    return reader;
  }
  if (ready_ || reader_.reachable() || remote_relays_.empty()) {
    return "";
  }
  if (silent_ms > kRemoteRelayTimeoutMs) {
    remote_index_ = (remote_index_ + 1) % remote_relays_.size();
  }
  return remote_relays_[remote_index_];
}

auto RelayService::UpdateReady() -> void {
  if (ready_ || !(reader_.complete() || follower_->caught_up())) {
    return;
  }
  ready_ = true;
  node_.metrics().Set("relay_ready", 1);
  core::LogEvent(core::Event::kRelayReady, {{"from", follower_->relay()}});
}

auto RelayService::OnFollow(const net::BusMessage& message) -> void {
  auto& follower = followers_[message.from];
  follower.last_request_at = core::MonotonicNow();
  if (message.body.contains("next")) {
    message.body.at("next").get_to(follower.next);
    CompareChains(message.from, message.body.at("chains"));
  }
  SendMissing(message.from, follower, true);
}

auto RelayService::CompareChains(const std::string& follower,
                                 const core::Json& chains) -> void {
  const auto& next = followers_[follower].next;
  for (const auto& [stream, chain] : chains.items()) {
    const auto* fold = node_.log().cluster_state().FindFold(stream);
    const auto position = next.find(stream);
    if (fold == nullptr || position == next.end() ||
        position->second != fold->next_offset() ||
        chain.get<std::uint64_t>() == fold->results_digest()) {
      continue;
    }
    node_.metrics().Count("fold_differences", "stream", stream);
    core::LogEvent(core::Event::kFoldDiffers, {{"process", follower},
                                               {"stream", stream},
                                               {"offset", position->second}});
  }
}

auto RelayService::SendMissing(const std::string& name,
                               Follower& follower,
                               bool send_empty) -> void {
  core::Json streams = core::Json::object();
  bool more = false;
  for (auto& [stream, next] : follower.next) {
    const auto own_next = node_.log().NextOffset(stream);
    if (next >= own_next) {
      continue;
    }
    const auto records =
        buffers_[stream].RecordsFrom(next, kMaxRecordsPerBatch);
    if (records) {
      streams[stream] = {{"first", next}, {"records", *records}};
      next += static_cast<std::int64_t>(records->size());
      more = more || next < own_next;
      continue;
    }
    streams[stream] = {
        {"snapshot",
         node_.log().cluster_state().FindFold(stream)->ToSnapshot()}};
    next = own_next;
  }
  if (send_empty || !streams.empty()) {
    node_.bus().Send(name, "log_batch",
                     {{"streams", streams},
                      {"ready", ready_ && !follower.next.empty()},
                      {"more", more}});
  }
}

auto RelayService::PushToFollowers() -> void {
  push_scheduled_ = false;
  const auto now = core::MonotonicNow();
  std::erase_if(followers_, [now](const auto& entry) {
    return now - entry.second.last_request_at > kFollowerTimeoutMs;
  });
  for (auto& [name, follower] : followers_) {
    SendMissing(name, follower, false);
  }
}

auto RelayService::Drain(std::function<void()> done) -> void {
  heartbeats_.AnnounceLeaving();
  reader_.SetActive(false);
  // Lets the leaving heartbeat out before the process exits.
  node_.loop().After(kRoleUpdatePeriodMs, std::move(done));
}

}  // namespace kcm::relay
