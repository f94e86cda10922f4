#include "LibEntry/peer_monitor.h"

#include <algorithm>
#include <utility>

#include "LibCore/event.h"
#include "LibNet/http_status.h"

namespace kcm::entry {

namespace {

using core::Millis;

/// A heartbeat is lost after this; a round trip between regions takes 40 ms.
constexpr Millis kHeartbeatTimeoutMs = 400;
/// Time without contact to the holder after which heartbeats go to all: two
/// heartbeats.
constexpr Millis kBroadcastAfterMs = 600;
/// Time without an answer after which requests no longer go to a process.
constexpr Millis kContactTimeoutMs = 900;
/// Time in which a live holder named by the store answers: one and a half
/// heartbeats.
constexpr Millis kNewHolderGraceMs = 450;
/// A process without contact for this long is not named to others.
constexpr Millis kNamePeerForMs = 5000;
/// Maximum age of the last heartbeat of a process that counts as alive: several
/// heartbeats, which may reach this process through the holder.
constexpr Millis kLivePeerMs = 3000;
constexpr Millis kForgetPeerAfterMs = 120000;
/// Maximum age of a queue length that is reported to callers.
constexpr Millis kPendingMaxAgeMs = 1500;

}  // namespace

PeerMonitor::PeerMonitor(net::HttpClient& http,
                         const EntrySettings& settings,
                         std::function<LocalState()> local_state)
    : http_(http),
      self_address_(settings.peer),
      name_(settings.name),
      local_state_(std::move(local_state)) {
  SetSettings(settings);
}

auto PeerMonitor::SetSettings(const EntrySettings& settings) -> void {
  for (const auto& seed : settings.seeds) {
    FindOrAddPeer(seed.ToString());
  }
}

auto PeerMonitor::FindOrAddPeer(const std::string& text) -> Peer* {
  core::Reason ignored;
  const auto address = core::ParseAddress(text, "peer", ignored);
  if (!address || *address == self_address_) {
    return nullptr;
  }
  const auto [found, is_new] = peers_.try_emplace(*address);
  if (is_new) {
    found->second.last_contact_at = core::SuspendAwareNow();
  }
  return &found->second;
}

auto PeerMonitor::MakeHeartbeat() const -> PeerHeartbeat {
  const auto now = core::SuspendAwareNow();
  const auto local_state = local_state_();
  PeerHeartbeat heartbeat;
  heartbeat.name = name_;
  heartbeat.address = self_address_.ToString();
  heartbeat.cpu_capacity = local_state.cpu_capacity;
  heartbeat.is_store_remote = local_state.is_store_remote;
  heartbeat.routes_version = local_state.routes_version;
  heartbeat.epoch = holder_view_.epoch;
  heartbeat.holder = holder_view_.name;
  heartbeat.holder_address = holder_view_.address.ToString();
  heartbeat.is_holder = local_state.is_holder;
  heartbeat.is_recovering = local_state.is_recovering;
  heartbeat.resigned = local_state.resigned || holder_view_.resigned;
  heartbeat.heard_ms =
      local_state.is_holder ? 0 : now - holder_view_.last_contact_at;
  heartbeat.hears_directly = local_state.is_holder ||
                             now - last_direct_contact_at_ < kContactTimeoutMs;
  if (local_state.is_holder) {
    heartbeat.storeless_ms = local_state.store_outage_ms;
    heartbeat.pending = local_state.pending;
  } else if (holder_view_.store_outage_since) {
    heartbeat.storeless_ms = now - *holder_view_.store_outage_since;
  }
  for (const auto& [address, peer] : peers_) {
    if (now - peer.last_contact_at < kNamePeerForMs) {
      heartbeat.peers.push_back(address.ToString());
      if (peer.heard_at > 0) {
        heartbeat.notes.push_back({address.ToString(), peer.cpu_capacity,
                                   peer.is_store_remote, now - peer.heard_at});
      }
    }
  }
  return heartbeat;
}

auto PeerMonitor::SendDueHeartbeats() -> void {
  const auto now = core::SuspendAwareNow();
  std::erase_if(peers_, [&](const auto& entry) {
    return now - entry.second.last_contact_at > kForgetPeerAfterMs &&
           !entry.second.in_flight;
  });
  if (const auto local_state = local_state_(); local_state.is_holder) {
    if (local_state.store_outage_ms > 0) {
      // A successor that reaches the store may have taken over already.
      BroadcastHeartbeat();
    }
    return;
  }
  const auto is_known = holder_view_.epoch > 0 && !holder_view_.resigned;
  if (is_known && holder_view_.address != self_address_) {
    SendHeartbeat(holder_view_.address);
  }
  if (!is_known || now - last_direct_contact_at_ > kBroadcastAfterMs) {
    BroadcastHeartbeat();
  }
}

auto PeerMonitor::BroadcastHeartbeat() -> void {
  for (const auto& [address, peer] : std::map(peers_)) {
    SendHeartbeat(address);
  }
}

auto PeerMonitor::SendHeartbeat(const core::Address& address) -> void {
  auto* peer = FindOrAddPeer(address.ToString());
  if (peer == nullptr || peer->in_flight) {
    return;
  }
  peer->in_flight = true;
  const net::HttpRequest request{"POST",
                                 kHeartbeatPath,
                                 {},
                                 {{"content-type", "application/json"}},
                                 core::Json(MakeHeartbeat()).dump()};
  http_.Send(
      address, request, kHeartbeatTimeoutMs,
      [weak = std::weak_ptr(handle_), address](const net::HttpResult& result) {
        const auto handle = weak.lock();
        if (handle == nullptr) {
          return;
        }
        auto& monitor = **handle;
        const auto is_answered = result.exchange == net::Exchange::kAnswered &&
                                 result.response.status == net::kHttpOk;
        if (const auto found = monitor.peers_.find(address);
            found != monitor.peers_.end()) {
          found->second.in_flight = false;
          if (!is_answered) {
            found->second.failed_at = core::SuspendAwareNow();
          }
        }
        if (!is_answered) {
          return;
        }
        const auto document =
            core::Json::parse(result.response.body, nullptr, false);
        try {
          monitor.MergeHeartbeat(document.get<PeerHeartbeat>());
        } catch (const core::Json::exception& error) {
          core::LogEvent(
              core::Event::kBadMessage,
              {{"from", address.ToString()}, {"error", error.what()}});
        }
      });
}

auto PeerMonitor::HandleHeartbeat(const PeerHeartbeat& heartbeat)
    -> PeerHeartbeat {
  MergeHeartbeat(heartbeat);
  return MakeHeartbeat();
}

auto PeerMonitor::MergeHeartbeat(const PeerHeartbeat& heartbeat) -> void {
  const auto now = core::SuspendAwareNow();
  auto* peer = FindOrAddPeer(heartbeat.address);
  if (peer == nullptr) {
    return;
  }
  peer->last_contact_at = now;
  peer->heard_at = now;
  peer->cpu_capacity = heartbeat.cpu_capacity;
  peer->is_store_remote = heartbeat.is_store_remote;
  peer->reaches_holder =
      heartbeat.hears_directly && heartbeat.epoch >= holder_view_.epoch;
  last_peer_contact_at_ = now;
  core::Reason ignored;
  const auto from = core::ParseAddress(heartbeat.address, "address", ignored);
  for (const auto& address : heartbeat.peers) {
    FindOrAddPeer(address);
  }
  for (const auto& note : heartbeat.notes) {
    MergeNote(note);
  }
  MergeHolderView(heartbeat, *from);
  if (heartbeat.routes_version > local_state_().routes_version &&
      on_newer_routes_) {
    on_newer_routes_(*from);
  }
}

auto PeerMonitor::MergeNote(const PeerNote& note) -> void {
  const auto heard_at = core::SuspendAwareNow() - note.heard_ms;
  auto* peer = FindOrAddPeer(note.address);
  if (peer == nullptr || heard_at <= peer->heard_at) {
    return;
  }
  peer->heard_at = heard_at;
  peer->cpu_capacity = note.cpu_capacity;
  peer->is_store_remote = note.is_store_remote;
}

auto PeerMonitor::MergeHolderView(const PeerHeartbeat& heartbeat,
                                  const core::Address& from) -> void {
  const auto now = core::SuspendAwareNow();
  if (heartbeat.epoch > holder_view_.epoch) {
    core::Reason ignored;
    const auto address =
        core::ParseAddress(heartbeat.holder_address, "holder", ignored);
    if (!address) {
      return;
    }
    SetHolder({heartbeat.epoch, heartbeat.holder, *address},
              now - heartbeat.heard_ms);
    holder_view_.resigned = heartbeat.resigned;
  }
  if (heartbeat.epoch < holder_view_.epoch || heartbeat.epoch == 0) {
    // A holder that restarted after a crash has lost its term.
    if (from == holder_view_.address && !heartbeat.is_holder) {
      holder_view_.resigned = true;
    }
    return;
  }
  holder_view_.last_contact_at =
      std::max(holder_view_.last_contact_at, now - heartbeat.heard_ms);
  if (heartbeat.resigned && !local_state_().is_holder) {
    holder_view_.resigned = true;
  }
  if (from != holder_view_.address) {
    return;
  }
  last_direct_contact_at_ = now;
  holder_view_.resigned = heartbeat.resigned || !heartbeat.is_holder;
  if (!heartbeat.is_recovering) {
    holder_view_.recovering_since.reset();
  } else if (!holder_view_.recovering_since) {
    holder_view_.recovering_since = now;
  }
  if (heartbeat.storeless_ms > 0) {
    holder_view_.store_outage_since = now - heartbeat.storeless_ms;
  } else {
    holder_view_.store_outage_since.reset();
  }
  pending_ = heartbeat.pending;
  pending_received_at_ = now;
}

auto PeerMonitor::SetHolder(const TermRow& term, Millis last_contact_at)
    -> void {
  holder_view_ = {};
  holder_view_.epoch = term.epoch;
  holder_view_.name = term.name;
  holder_view_.address = term.address;
  holder_view_.last_contact_at = last_contact_at;
  last_direct_contact_at_ = 0;
  core::LogEvent(core::Event::kHolderChanged,
                 {{"epoch", term.epoch},
                  {"holder", term.name},
                  {"address", term.address.ToString()}});
}

auto PeerMonitor::OnTermWon(const TermRow& term) -> void {
  SetHolder(term, core::SuspendAwareNow());
  holder_view_.recovering_since = core::SuspendAwareNow();
}

auto PeerMonitor::OnTermStored(const TermRow& term) -> void {
  if (term.epoch <= holder_view_.epoch) {
    return;
  }
  SetHolder(term,
            core::SuspendAwareNow() - kContactTimeoutMs + kNewHolderGraceMs);
  SendHeartbeat(term.address);
}

auto PeerMonitor::OnTermEnded(std::int64_t epoch) -> void {
  if (holder_view_.epoch == epoch) {
    holder_view_.resigned = true;
  }
}

auto PeerMonitor::SelfAsCandidate() const -> Candidate {
  const auto local_state = local_state_();
  return {self_address_.ToString(), local_state.cpu_capacity,
          local_state.is_store_remote};
}

auto PeerMonitor::LivePeers() const -> std::vector<Candidate> {
  const auto now = core::SuspendAwareNow();
  std::vector<Candidate> live;
  for (const auto& [address, peer] : peers_) {
    if (now - peer.heard_at < kLivePeerMs && peer.heard_at > peer.failed_at) {
      live.push_back(
          {address.ToString(), peer.cpu_capacity, peer.is_store_remote});
    }
  }
  return live;
}

auto PeerMonitor::RouteToHolder() const -> std::optional<core::Address> {
  const auto now = core::SuspendAwareNow();
  if (holder_view_.epoch == 0 || holder_view_.resigned ||
      holder_view_.recovering_since) {
    return std::nullopt;
  }
  if (now - last_direct_contact_at_ < kContactTimeoutMs) {
    return holder_view_.address;
  }
  for (const auto& [address, peer] : peers_) {
    if (peer.reaches_holder && now - peer.last_contact_at < kContactTimeoutMs &&
        address != holder_view_.address) {
      return address;
    }
  }
  return std::nullopt;
}

auto PeerMonitor::PendingJobs(const std::string& queue) const
    -> std::optional<std::int64_t> {
  if (core::SuspendAwareNow() - pending_received_at_ > kPendingMaxAgeMs) {
    return std::nullopt;
  }
  const auto found = pending_.find(queue);
  return found == pending_.end() ? 0 : found->second;
}

}  // namespace kcm::entry
