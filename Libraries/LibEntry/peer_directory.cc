#include "LibEntry/peer_directory.h"

#include <algorithm>
#include <utility>

namespace kcm::entry {

namespace {

using core::Millis;

/// Processes that claim first, which all others have to know as alive: they
/// would otherwise claim before them.
constexpr std::size_t kFirstClaimants = 3;
/// Further processes that are named in turn.
constexpr std::size_t kNotesInTurn = 3;
/// Time between heartbeats that name these; a process counts as alive for
/// several of them.
constexpr Millis kTurnPeriodMs = 900;
/// A process that nobody has heard for this long is not named to others.
constexpr Millis kNamePeerForMs = 5000;
/// Maximum age of the last heartbeat of a process that counts as alive: several
/// heartbeats, which may reach this process through the holder.
constexpr Millis kLivePeerMs = 3000;
constexpr Millis kForgetPeerAfterMs = 120000;
constexpr Millis kFirstClaimantsPeriodMs = 300;

/// @return the entry after `after` in a ring of all entries.
template <typename Map>
auto NextInRing(Map& entries, const core::Address& after) ->
    typename Map::iterator {
  const auto next = entries.upper_bound(after);
  return next == entries.end() ? entries.begin() : next;
}

}  // namespace

auto PeerDirectory::Add(const core::Address& address, Millis now) -> void {
  if (address == self_ || peers_.size() >= kMaxPeers) {
    return;
  }
  const auto [found, is_new] = peers_.try_emplace(address);
  if (is_new) {
    found->second.added_at = now;
  }
}

auto PeerDirectory::RecordHeartbeat(const core::Address& address,
                                    const PeerHeartbeat& heartbeat,
                                    bool reaches_holder,
                                    Millis now) -> void {
  Add(address, now);
  const auto found = peers_.find(address);
  if (found == peers_.end()) {
    return;
  }
  auto& peer = found->second;
  peer.contact_at = now;
  SetHeard(address, peer, now);
  peer.cpu_capacity = heartbeat.cpu_capacity;
  peer.is_store_remote = heartbeat.is_store_remote;
  peer.is_draining = heartbeat.is_draining;
  peer.reaches_holder = reaches_holder;
}

auto PeerDirectory::RecordNote(const PeerNote& note, Millis now) -> void {
  core::Reason ignored;
  const auto address = core::ParseAddress(note.address, "peer", ignored);
  if (!address) {
    return;
  }
  Add(*address, now);
  const auto found = peers_.find(*address);
  const auto heard_at = now - std::max<Millis>(note.heard_ms, 0);
  if (found == peers_.end() || heard_at <= found->second.heard_at) {
    return;
  }
  SetHeard(*address, found->second, heard_at);
  found->second.cpu_capacity = note.cpu_capacity;
  found->second.is_store_remote = note.is_store_remote;
  found->second.is_draining = note.is_draining;
}

auto PeerDirectory::RecordFailure(const core::Address& address, Millis now)
    -> void {
  if (const auto found = peers_.find(address); found != peers_.end()) {
    found->second.failed_at = now;
    // If it was restarted, it has lost what it was told.
    found->second.told_until = 0;
  }
}

auto PeerDirectory::SetHeard(const core::Address& address,
                             Peer& peer,
                             Millis at) -> void {
  peer.heard_at = at;
  if (peer.number == 0) {
    peer.number = ++last_number_;
    by_number_[peer.number] = address;
  }
}

auto PeerDirectory::AddNote(const core::Address& address,
                            const core::Address& recipient,
                            Millis now,
                            std::vector<PeerNote>& notes) const -> void {
  const auto found = peers_.find(address);
  if (found == peers_.end() || address == recipient) {
    return;
  }
  const auto& peer = found->second;
  const auto text = address.ToString();
  const auto is_named =
      std::any_of(notes.begin(), notes.end(),
                  [&](const PeerNote& note) { return note.address == text; });
  if (!is_named && peer.heard_at > 0 && now - peer.heard_at < kNamePeerForMs) {
    notes.push_back({text, peer.cpu_capacity, peer.is_store_remote,
                     now - peer.heard_at, peer.is_draining});
  }
}

auto PeerDirectory::FirstClaimants(Millis now)
    -> const std::vector<core::Address>& {
  if (first_claimants_at_ > 0 &&
      now - first_claimants_at_ < kFirstClaimantsPeriodMs) {
    return first_claimants_;
  }
  first_claimants_at_ = now;
  first_claimants_.clear();
  auto live = LivePeers(now);
  const auto count = std::min(live.size(), kFirstClaimants);
  std::partial_sort(live.begin(),
                    live.begin() + static_cast<std::ptrdiff_t>(count),
                    live.end(), ClaimsBefore);
  core::Reason ignored;
  for (std::size_t index = 0; index < count; ++index) {
    first_claimants_.push_back(
        *core::ParseAddress(live[index].address, "peer", ignored));
  }
  return first_claimants_;
}

auto PeerDirectory::NotesFor(const core::Address& recipient, Millis now)
    -> std::vector<PeerNote> {
  std::vector<PeerNote> notes;
  const auto known = peers_.find(recipient);
  if (known == peers_.end()) {
    return notes;
  }
  auto& state = known->second;
  if (state.turn_at == 0 || now - state.turn_at >= kTurnPeriodMs) {
    state.turn_at = now;
    for (const auto& address : FirstClaimants(now)) {
      AddNote(address, recipient, now, notes);
    }
    for (std::size_t turn = 0; turn < kNotesInTurn; ++turn) {
      state.turn_of = NextInRing(peers_, state.turn_of)->first;
      AddNote(state.turn_of, recipient, now, notes);
    }
  }
  for (auto next = by_number_.upper_bound(state.told_until);
       next != by_number_.end() && notes.size() < kMaxNotes; ++next) {
    AddNote(next->second, recipient, now, notes);
    state.told_until = next->first;
  }
  return notes;
}

auto PeerDirectory::TakeProbes() -> std::vector<core::Address> {
  std::vector<core::Address> probes;
  const auto count = std::min(kProbes, peers_.size());
  while (probes.size() < count) {
    probed_until_ = NextInRing(peers_, probed_until_)->first;
    probes.push_back(probed_until_);
  }
  return probes;
}

auto PeerDirectory::LivePeers(Millis now) const -> std::vector<Candidate> {
  std::vector<Candidate> live;
  for (const auto& [address, peer] : peers_) {
    if (now - peer.heard_at < kLivePeerMs && peer.heard_at > peer.failed_at) {
      live.push_back({address.ToString(), peer.cpu_capacity,
                      peer.is_store_remote, peer.is_draining});
    }
  }
  return live;
}

auto PeerDirectory::FindRelay(const core::Address& holder,
                              Millis max_age_ms,
                              Millis now) const
    -> std::optional<core::Address> {
  for (const auto& [address, peer] : peers_) {
    if (peer.reaches_holder && now - peer.contact_at < max_age_ms &&
        address != holder) {
      return address;
    }
  }
  return std::nullopt;
}

auto PeerDirectory::ForgetSilent(Millis now) -> void {
  std::erase_if(peers_, [&](const auto& entry) {
    const auto& peer = entry.second;
    const auto is_silent =
        now - std::max({peer.added_at, peer.contact_at, peer.heard_at}) >
        kForgetPeerAfterMs;
    if (is_silent) {
      by_number_.erase(peer.number);
    }
    return is_silent;
  });
}

auto PeerDirectory::addresses() const -> std::vector<core::Address> {
  std::vector<core::Address> all;
  all.reserve(peers_.size());
  for (const auto& [address, peer] : peers_) {
    all.push_back(address);
  }
  return all;
}

}  // namespace kcm::entry
