#include "relay_service.h"

#include <algorithm>
#include <utility>

#include "LibCore/clock.h"
#include "LibCore/event.h"
#include "LibMember/reader_choice.h"

namespace kcm::relay {

namespace {

constexpr core::Millis kFollowerLease = 2000;
constexpr core::Millis kChoosePeriod = 100;
/// A relay that just started has not heard the others yet.
constexpr core::Millis kSettleSpan = 600;
/// Silence of a relay of another region after which the next one is asked.
constexpr core::Millis kFarSilence = 1000;
constexpr std::size_t kMaxRecordsPerBatch = 512;

/// Followers fold a snapshot record without its text.
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
  const auto near = node.PeersOf(node::Role::kRelay, node.settings().region);
  for (auto& relay : node.PeersOf(node::Role::kRelay, "")) {
    if (std::find(near.begin(), near.end(), relay) == near.end()) {
      far_relays_.push_back(std::move(relay));
    }
  }
  follower_ = std::make_unique<node::LogFollower>(
      node.loop(), node.bus(), node.log(),
      [this](core::Millis silent) { return ChooseSource(silent); });
  node.loop().Every(kChoosePeriod, [this] { Choose(); });
}

auto RelayService::OnRecord(const node::AppliedRecord& applied) -> void {
  buffers_[applied.stream].Add(applied.offset, WithoutText(applied));
  if (!std::exchange(push_due_, true)) {
    node_.loop().After(0, [this] { PushAll(); });
  }
}

auto RelayService::Choose() -> void {
  const bool settled = core::MonotonicNow() - started_at_ > kSettleSpan;
  reader_.SetActive(settled && ChooseReader() == node_.self());
  UpdateReady();
  heartbeats_.Say(ready_, reader_.reachable());
  if (reader_.active() && reader_.reachable() && ready_) {
    publisher_.Publish();
  }
}

auto RelayService::ChooseReader() const -> std::string {
  std::vector<member::RelayView> alive = {
      {node_.self(), ready_, reader_.reachable()}};
  for (const auto& peer : heartbeats_.Alive()) {
    const auto said = heartbeats_.SaidBy(peer);
    alive.push_back({peer, said.ready, said.reachable});
  }
  return member::ChooseReader(alive);
}

auto RelayService::ChooseSource(core::Millis silent) -> std::string {
  const auto reader = ChooseReader();
  if (reader != node_.self()) {
    return reader;
  }
  if (ready_ || reader_.reachable() || far_relays_.empty()) {
    return "";
  }
  if (silent > kFarSilence) {
    far_index_ = (far_index_ + 1) % far_relays_.size();
  }
  return far_relays_[far_index_];
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
  follower.heard_at = core::MonotonicNow();
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
    const auto* fold = node_.log().world().FindFold(stream);
    const auto position = next.find(stream);
    if (fold == nullptr || position == next.end() ||
        position->second != fold->next_offset() ||
        chain.get<std::uint64_t>() == fold->chain()) {
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
                               bool always) -> void {
  core::Json streams = core::Json::object();
  bool more = false;
  for (auto& [stream, next] : follower.next) {
    const auto own_next = node_.log().NextOffset(stream);
    if (next >= own_next) {
      continue;
    }
    const auto records = buffers_[stream].From(next, kMaxRecordsPerBatch);
    if (records) {
      streams[stream] = {{"first", next}, {"records", *records}};
      next += static_cast<std::int64_t>(records->size());
      more = more || next < own_next;
      continue;
    }
    streams[stream] = {
        {"snapshot", node_.log().world().FindFold(stream)->ToSnapshot()}};
    next = own_next;
  }
  if (always || !streams.empty()) {
    node_.bus().Send(name, "log_batch",
                     {{"streams", streams},
                      {"ready", ready_ && !follower.next.empty()},
                      {"more", more}});
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
