#include "LibEntry/peer_link.h"

#include <algorithm>
#include <utility>

#include "LibCore/event.h"
#include "LibNet/http_status.h"

namespace kcm::entry {

namespace {

using core::Millis;

/// A beat crosses regions in 40 ms there and back; one that takes longer than
/// this is lost.
constexpr Millis kBeatTimeoutMs = 400;
/// Silence of the holder after which all processes are asked about it: two
/// beats.
constexpr Millis kAskAllMs = 600;
/// Silence after which the holder is not asked directly any more.
constexpr Millis kDirectSilenceMs = 900;
/// A holder that the store names is heard within this span, if it lives: a
/// beat and a half.
constexpr Millis kHearingMs = 450;
/// A process unheard for this long is not passed on to others.
constexpr Millis kPeerAgeMs = 5000;
/// A process unheard for this long is forgotten.
constexpr Millis kForgetMs = 120000;
/// The length of a queue may be shown this long after it was told.
constexpr Millis kPendingAgeMs = 1500;

}  // namespace

PeerLink::PeerLink(net::HttpClient& http,
                   const EntrySettings& settings,
                   std::function<Self()> self)
    : http_(http),
      self_address_(settings.peer),
      name_(settings.name),
      self_(std::move(self)) {
  SetSettings(settings);
}

auto PeerLink::SetSettings(const EntrySettings& settings) -> void {
  for (const auto& seed : settings.seeds) {
    Learn(seed.ToString());
  }
}

auto PeerLink::Learn(const std::string& text) -> Peer* {
  core::Reason ignored;
  const auto address = core::ParseAddress(text, "peer", ignored);
  if (!address || *address == self_address_) {
    return nullptr;
  }
  const auto [found, is_new] = peers_.try_emplace(*address);
  if (is_new) {
    found->second.heard_at = core::SuspendAwareNow();
  }
  return &found->second;
}

auto PeerLink::MakeBeat() const -> Beat {
  const auto now = core::SuspendAwareNow();
  const auto self = self_();
  Beat beat;
  beat.name = name_;
  beat.address = self_address_.ToString();
  beat.routes_version = self.routes_version;
  beat.epoch = belief_.epoch;
  beat.holder = belief_.name;
  beat.holder_address = belief_.address.ToString();
  beat.is_holder = self.is_holder;
  beat.resigned = self.resigned || belief_.resigned;
  beat.heard_ms = self.is_holder ? 0 : now - belief_.heard_at;
  beat.hears_directly =
      self.is_holder || now - direct_heard_at_ < kDirectSilenceMs;
  if (self.is_holder) {
    beat.storeless_ms = self.storeless_ms;
    beat.pending = self.pending;
  } else if (belief_.storeless_since) {
    beat.storeless_ms = now - *belief_.storeless_since;
  }
  for (const auto& [address, peer] : peers_) {
    if (now - peer.heard_at < kPeerAgeMs) {
      beat.peers.push_back(address.ToString());
    }
  }
  return beat;
}

auto PeerLink::Tick() -> void {
  const auto now = core::SuspendAwareNow();
  std::erase_if(peers_, [&](const auto& entry) {
    return now - entry.second.heard_at > kForgetMs && !entry.second.in_flight;
  });
  if (const auto self = self_(); self.is_holder) {
    if (self.storeless_ms > 0) {
      // A successor that the store serves may have taken over already.
      BeatAll();
    }
    return;
  }
  const auto is_known = belief_.epoch > 0 && !belief_.resigned;
  if (is_known && belief_.address != self_address_) {
    Send(belief_.address);
  }
  if (!is_known || now - direct_heard_at_ > kAskAllMs) {
    BeatAll();
  }
}

auto PeerLink::BeatAll() -> void {
  for (const auto& [address, peer] : std::map(peers_)) {
    Send(address);
  }
}

auto PeerLink::Send(const core::Address& address) -> void {
  auto* peer = Learn(address.ToString());
  if (peer == nullptr || peer->in_flight) {
    return;
  }
  peer->in_flight = true;
  const net::HttpRequest request{"POST",
                                 kBeatPath,
                                 {},
                                 {{"content-type", "application/json"}},
                                 core::Json(MakeBeat()).dump()};
  http_.Send(
      address, request, kBeatTimeoutMs,
      [weak = std::weak_ptr(handle_), address](const net::HttpResult& result) {
        const auto handle = weak.lock();
        if (handle == nullptr) {
          return;
        }
        auto& link = **handle;
        if (const auto found = link.peers_.find(address);
            found != link.peers_.end()) {
          found->second.in_flight = false;
        }
        if (result.exchange != net::Exchange::kAnswered ||
            result.answer.status != net::kHttpOk) {
          return;
        }
        const auto document =
            core::Json::parse(result.answer.body, nullptr, false);
        try {
          link.Merge(document.get<Beat>());
        } catch (const core::Json::exception& error) {
          core::LogEvent(
              core::Event::kBadMessage,
              {{"from", address.ToString()}, {"error", error.what()}});
        }
      });
}

auto PeerLink::OnBeat(const Beat& beat) -> Beat {
  Merge(beat);
  return MakeBeat();
}

auto PeerLink::Merge(const Beat& beat) -> void {
  const auto now = core::SuspendAwareNow();
  auto* peer = Learn(beat.address);
  if (peer == nullptr) {
    return;
  }
  peer->heard_at = now;
  peer->hears_holder = beat.hears_directly && beat.epoch >= belief_.epoch;
  peer_heard_at_ = now;
  core::Reason ignored;
  const auto from = core::ParseAddress(beat.address, "address", ignored);
  for (const auto& address : beat.peers) {
    Learn(address);
  }
  MergeHolder(beat, *from);
  if (beat.routes_version > self_().routes_version && on_newer_routes_) {
    on_newer_routes_(*from);
  }
}

auto PeerLink::MergeHolder(const Beat& beat, const core::Address& from)
    -> void {
  const auto now = core::SuspendAwareNow();
  if (beat.epoch > belief_.epoch) {
    core::Reason ignored;
    const auto address =
        core::ParseAddress(beat.holder_address, "holder", ignored);
    if (!address) {
      return;
    }
    Believe({beat.epoch, beat.holder, *address}, now - beat.heard_ms);
    belief_.resigned = beat.resigned;
  }
  if (beat.epoch < belief_.epoch || beat.epoch == 0) {
    // A holder that came back from a crash knows nothing of its term.
    if (from == belief_.address && !beat.is_holder) {
      belief_.resigned = true;
    }
    return;
  }
  belief_.heard_at = std::max(belief_.heard_at, now - beat.heard_ms);
  belief_.resigned = belief_.resigned || beat.resigned;
  if (from != belief_.address) {
    return;
  }
  direct_heard_at_ = now;
  belief_.resigned = beat.resigned || !beat.is_holder;
  if (beat.storeless_ms > 0) {
    belief_.storeless_since = now - beat.storeless_ms;
  } else {
    belief_.storeless_since.reset();
  }
  pending_ = beat.pending;
  pending_at_ = now;
}

auto PeerLink::Believe(const TermRow& term, Millis heard_at) -> void {
  belief_ = {};
  belief_.epoch = term.epoch;
  belief_.name = term.name;
  belief_.address = term.address;
  belief_.heard_at = heard_at;
  direct_heard_at_ = 0;
  core::LogEvent(core::Event::kHolderChanged,
                 {{"epoch", term.epoch},
                  {"holder", term.name},
                  {"address", term.address.ToString()}});
}

auto PeerLink::OnTermWon(const TermRow& term) -> void {
  Believe(term, core::SuspendAwareNow());
}

auto PeerLink::OnTermStored(const TermRow& term) -> void {
  if (term.epoch <= belief_.epoch) {
    return;
  }
  Believe(term, core::SuspendAwareNow() - kDirectSilenceMs + kHearingMs);
  Send(term.address);
}

auto PeerLink::OnTermEnded(std::int64_t epoch) -> void {
  if (belief_.epoch == epoch) {
    belief_.resigned = true;
  }
}

auto PeerLink::HolderRoute() const -> std::optional<core::Address> {
  const auto now = core::SuspendAwareNow();
  if (belief_.epoch == 0 || belief_.resigned) {
    return std::nullopt;
  }
  if (now - direct_heard_at_ < kDirectSilenceMs) {
    return belief_.address;
  }
  for (const auto& [address, peer] : peers_) {
    if (peer.hears_holder && now - peer.heard_at < kDirectSilenceMs &&
        address != belief_.address) {
      return address;
    }
  }
  return std::nullopt;
}

auto PeerLink::PendingOf(const std::string& queue) const
    -> std::optional<std::int64_t> {
  if (core::SuspendAwareNow() - pending_at_ > kPendingAgeMs) {
    return std::nullopt;
  }
  const auto found = pending_.find(queue);
  return found == pending_.end() ? 0 : found->second;
}

}  // namespace kcm::entry
