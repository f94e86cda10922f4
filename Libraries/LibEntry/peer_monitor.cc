#include "LibEntry/peer_monitor.h"

#include <algorithm>
#include <utility>

#include "LibCore/event.h"

namespace kcm::entry {

namespace {

using core::Millis;

/// Time without contact to the holder after which others are probed: two
/// heartbeats.
constexpr Millis kProbeAfterMs = 600;
/// Time without an answer after which requests no longer go to a process.
constexpr Millis kContactTimeoutMs = 900;
/// Time in which a live holder named by the store answers: one and a half
/// heartbeats.
constexpr Millis kNewHolderGraceMs = 450;
/// Maximum age of a queue length that is reported to callers.
constexpr Millis kPendingMaxAgeMs = 1500;

}  // namespace

PeerMonitor::PeerMonitor(HeartbeatPort& port,
                         const EntrySettings& settings,
                         std::function<LocalState()> local_state,
                         Clock clock)
    : port_(port),
      clock_(std::move(clock)),
      self_address_(settings.peer),
      name_(settings.name),
      local_state_(std::move(local_state)),
      directory_(settings.peer) {
  SetSettings(settings);
}

auto PeerMonitor::SetSettings(const EntrySettings& settings) -> void {
  for (const auto& seed : settings.seeds) {
    directory_.Add(seed, clock_());
  }
}

auto PeerMonitor::MakeHeartbeat(const LocalState& local_state) const
    -> PeerHeartbeat {
  const auto now = clock_();
  PeerHeartbeat heartbeat;
  heartbeat.name = name_;
  heartbeat.address = self_address_.ToString();
  heartbeat.cpu_capacity = local_state.cpu_capacity;
  heartbeat.is_store_remote = local_state.is_store_remote;
  heartbeat.is_draining = local_state.is_draining;
  heartbeat.routes_version = local_state.routes_version;
  heartbeat.epoch = holder_view_.epoch;
  heartbeat.holder = holder_view_.name;
  heartbeat.holder_address = holder_view_.address.ToString();
  heartbeat.holder_cpu_capacity = holder_view_.cpu_capacity;
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
  return heartbeat;
}

auto PeerMonitor::SendDueHeartbeats() -> void {
  const auto now = clock_();
  directory_.ForgetSilent(now);
  if (const auto local_state = local_state_(); local_state.is_holder) {
    if (local_state.store_outage_ms > 0) {
      // A successor that reaches the store may have taken over already.
      ProbePeers();
    }
    return;
  }
  const auto is_known = holder_view_.epoch > 0 && !holder_view_.resigned;
  if (is_known && holder_view_.address != self_address_) {
    SendHeartbeat(holder_view_.address);
  }
  if (!is_known || now - last_direct_contact_at_ > kProbeAfterMs) {
    ProbePeers();
  } else {
    directory_.ResetProbes();
  }
}

auto PeerMonitor::BroadcastHeartbeat() -> void {
  for (const auto& address : directory_.addresses()) {
    if (in_flight_.contains(address)) {
      send_again_.insert(address);
    } else {
      SendHeartbeat(address);
    }
  }
}

auto PeerMonitor::ProbePeers() -> void {
  for (const auto& address : directory_.TakeProbes()) {
    SendHeartbeat(address);
  }
}

auto PeerMonitor::SendHeartbeat(const core::Address& address) -> void {
  if (address == self_address_ || !in_flight_.insert(address).second) {
    return;
  }
  directory_.Add(address, clock_());
  auto heartbeat = MakeHeartbeat(local_state_());
  if (address != holder_view_.address) {
    // The holder hears all others itself.
    heartbeat.notes = directory_.NotesFor(address, clock_());
  }
  port_.Send(address, heartbeat,
             [weak = std::weak_ptr(handle_),
              address](const std::optional<PeerHeartbeat>& answer) {
               const auto handle = weak.lock();
               if (handle == nullptr) {
                 return;
               }
               auto& monitor = **handle;
               monitor.in_flight_.erase(address);
               if (answer) {
                 monitor.MergeHeartbeat(*answer, monitor.local_state_());
               } else {
                 monitor.directory_.RecordFailure(address, monitor.clock_());
               }
               if (monitor.send_again_.erase(address) > 0) {
                 monitor.SendHeartbeat(address);
               }
             });
}

auto PeerMonitor::HandleHeartbeat(const PeerHeartbeat& heartbeat)
    -> PeerHeartbeat {
  const auto local_state = local_state_();
  MergeHeartbeat(heartbeat, local_state);
  auto answer = MakeHeartbeat(local_state);
  core::Reason ignored;
  if (const auto from =
          core::ParseAddress(heartbeat.address, "address", ignored)) {
    answer.notes = directory_.NotesFor(*from, clock_());
  }
  return answer;
}

auto PeerMonitor::MergeHeartbeat(const PeerHeartbeat& heartbeat,
                                 const LocalState& local_state) -> void {
  const auto now = clock_();
  core::Reason ignored;
  const auto from = core::ParseAddress(heartbeat.address, "address", ignored);
  if (!from || *from == self_address_) {
    return;
  }
  directory_.RecordHeartbeat(
      *from, heartbeat,
      heartbeat.hears_directly && heartbeat.epoch >= holder_view_.epoch, now);
  last_peer_contact_at_ = now;
  for (const auto& note : heartbeat.notes) {
    directory_.RecordNote(note, now);
  }
  MergeHolderView(heartbeat, *from, local_state.is_holder);
  if (heartbeat.routes_version > local_state.routes_version &&
      on_newer_routes_) {
    on_newer_routes_(*from);
  }
}

auto PeerMonitor::MergeHolderView(const PeerHeartbeat& heartbeat,
                                  const core::Address& from,
                                  bool is_local_holder) -> void {
  const auto now = clock_();
  if (heartbeat.epoch > holder_view_.epoch) {
    core::Reason ignored;
    const auto address =
        core::ParseAddress(heartbeat.holder_address, "holder", ignored);
    if (!address) {
      return;
    }
    SetHolder({heartbeat.epoch, heartbeat.holder, *address, 0,
               heartbeat.holder_cpu_capacity},
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
  if (heartbeat.resigned && !is_local_holder) {
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
  if (heartbeat.is_holder && !heartbeat.is_recovering) {
    pending_ = heartbeat.pending;
    pending_received_at_ = now;
  }
}

auto PeerMonitor::SetHolder(const TermRow& term, Millis last_contact_at)
    -> void {
  holder_view_ = {};
  holder_view_.epoch = term.epoch;
  holder_view_.name = term.name;
  holder_view_.address = term.address;
  holder_view_.cpu_capacity = term.cpu_capacity;
  holder_view_.last_contact_at = last_contact_at;
  last_direct_contact_at_ = 0;
  core::LogEvent(core::Event::kHolderChanged,
                 {{"epoch", term.epoch},
                  {"holder", term.name},
                  {"address", term.address.ToString()}});
}

auto PeerMonitor::OnTermWon(const TermRow& term) -> void {
  SetHolder(term, clock_());
  holder_view_.recovering_since = clock_();
}

auto PeerMonitor::OnTermStored(const TermRow& term) -> void {
  if (term.epoch <= holder_view_.epoch) {
    return;
  }
  SetHolder(term, clock_() - kContactTimeoutMs + kNewHolderGraceMs);
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
          local_state.is_store_remote, local_state.is_draining};
}

auto PeerMonitor::HasSuccessor() const -> bool {
  const auto peers = LivePeers();
  return std::any_of(peers.begin(), peers.end(),
                     [](const Candidate& peer) { return !peer.is_draining; });
}

auto PeerMonitor::RouteToHolder() const -> std::optional<core::Address> {
  const auto now = clock_();
  if (holder_view_.epoch == 0 || holder_view_.resigned ||
      holder_view_.recovering_since) {
    return std::nullopt;
  }
  if (now - last_direct_contact_at_ < kContactTimeoutMs) {
    return holder_view_.address;
  }
  return directory_.FindRelay(holder_view_.address, kContactTimeoutMs, now);
}

auto PeerMonitor::PendingJobs(const std::string& queue) const
    -> std::optional<std::int64_t> {
  if (clock_() - pending_received_at_ > kPendingMaxAgeMs) {
    return std::nullopt;
  }
  const auto found = pending_.find(queue);
  return found == pending_.end() ? 0 : found->second;
}

}  // namespace kcm::entry
