#include "LibEntry/entry_service.h"

#include <utility>

#include "LibCore/event.h"
#include "LibCore/stable_hash.h"
#include "LibNet/http_status.h"

namespace kcm::entry {

namespace {

using core::Millis;

/// How often due work is looked for.
constexpr Millis kTickMs = 50;
/// How often the holder is asked whether it lives.
constexpr Millis kBeatMs = 300;
/// How often the store is asked who holds the term while nobody is heard.
constexpr Millis kPeekMs = 1000;
constexpr Millis kPeekTimeoutMs = 700;
constexpr Millis kFetchTimeoutMs = 700;
/// Span that the store may hold a read of the configuration: a change that it
/// does not tell is found after that at the latest.
constexpr Millis kOperatorsWaitMs = 1000;
/// Claims of processes of one deployment are spread over this span.
constexpr Millis kClaimSpreadMs = 200;
/// A process in another region than the store claims this much later: each of
/// its appends would cross between regions.
constexpr Millis kFarDelayMs = 500;
/// A round trip beyond this crosses between regions.
constexpr Millis kFarRoundTripMs = 20;
/// Patience for a request that a peer passes on.
constexpr Millis kRelayedPatienceMs = 700;

auto SpreadOf(const std::string& name) -> Millis {
  return static_cast<Millis>(core::StableHash(name) % kClaimSpreadMs);
}

}  // namespace

auto EntryService::create(EntryParts parts,
                          const EntrySettings& settings,
                          core::Reason& reason)
    -> std::unique_ptr<EntryService> {
  std::unique_ptr<EntryService> service(new EntryService(parts, settings));
  auto* raw = service.get();
  service->peer_server_ = net::HttpServer::create(
      parts.loop, settings.peer,
      [raw](const net::HttpRequest& request, const net::HttpReply& reply) {
        raw->OnPeerRequest(request, reply);
      },
      reason);
  if (service->peer_server_ == nullptr) {
    return nullptr;
  }
  service->operators_ = std::make_unique<TableFollower>(
      parts.loop, parts.store,
      FollowSettings{platform::Table::kOperators, kOperatorsWaitMs, 0},
      [raw](const std::vector<dispatch::Row>& rows, bool /*whole*/) {
        raw->OnOperatorRows(rows);
      });
  service->peers_.OnNewerRoutes(
      [raw](const core::Address& peer) { raw->FetchRoutes(peer); });
  parts.loop.Every(kTickMs, [raw] { raw->Tick(); });
  return service;
}

EntryService::EntryService(EntryParts parts, const EntrySettings& settings)
    : parts_(parts),
      settings_(settings),
      peers_(parts.http,
             settings,
             [this] {
               PeerLink::Self self;
               self.routes_version = routes_.version;
               self.resigned = draining_ && holder_ == nullptr &&
                               peers_.belief().address == settings_.peer;
               if (holder_ != nullptr) {
                 self.is_holder = true;
                 self.storeless_ms = holder_->StorelessMs();
                 self.pending = holder_->PendingByQueue();
               }
               return self;
             }),
      holder_link_(parts.loop, parts.http, peers_, [this] { return holder_; }),
      election_({}, SpreadOf(settings.name)) {}

auto EntryService::SetSettings(const EntrySettings& settings) -> void {
  settings_ = settings;
  peers_.SetSettings(settings);
  if (holder_ != nullptr) {
    holder_->SetSettings(settings);
  }
}

auto EntryService::IsReady() const -> bool {
  constexpr Millis kLostMs = 2000;
  if (draining_ || routes_.version == 0) {
    return false;
  }
  const auto& belief = peers_.belief();
  return holder_ != nullptr ||
         (belief.epoch > 0 && !belief.resigned &&
          core::SuspendAwareNow() - belief.heard_at < kLostMs);
}

auto EntryService::PendingOf(const std::string& queue) const
    -> std::optional<std::int64_t> {
  if (holder_ == nullptr) {
    return peers_.PendingOf(queue);
  }
  const auto pending = holder_->PendingByQueue();
  const auto found = pending.find(queue);
  return found == pending.end() ? 0 : found->second;
}

auto EntryService::Tick() -> void {
  const auto now = core::SuspendAwareNow();
  if (const auto holder = holder_) {
    if (peers_.belief().epoch > holder->term().epoch) {
      holder->Abandon();
    }
    holder->Pump();
  }
  if (now >= next_beat_at_) {
    next_beat_at_ = now + kBeatMs;
    peers_.Tick();
  }
  if (holder_ != nullptr || claiming_ || draining_) {
    return;
  }
  if (const auto plan = election_.Decide(
          peers_.belief(), peers_.peer_heard_at(), peers_.has_peers(), now)) {
    StartClaim(*plan);
  } else if (now >= next_peek_at_ && !peers_.HolderRoute()) {
    next_peek_at_ = now + kPeekMs;
    PeekTerm();
  }
}

auto EntryService::PeekTerm() -> void {
  const auto sent_at = core::SuspendAwareNow();
  parts_.store.ReadNewest(
      platform::Table::kState, kBeforeTermKey, kPeekTimeoutMs,
      [this, sent_at](const platform::TableRead& read) {
        if (!read.answered) {
          return;
        }
        const auto far = core::SuspendAwareNow() - sent_at > kFarRoundTripMs;
        election_.set_rank(SpreadOf(settings_.name) + (far ? kFarDelayMs : 0));
        if (const auto term = FindTerm(read.rows)) {
          peers_.OnTermStored(*term);
        }
      });
}

auto EntryService::StartClaim(const ClaimPlan& plan) -> void {
  claiming_ = true;
  const TermRow self{0, settings_.name, settings_.peer};
  const auto claim = std::make_shared<Claim>(
      parts_.loop, parts_.store, self, peers_.belief().epoch, plan.watch_ms,
      [this](ClaimResult result) { OnClaimed(std::move(result)); });
  claim->Start();
}

auto EntryService::OnClaimed(ClaimResult result) -> void {
  claiming_ = false;
  if (!result.won) {
    core::LogEvent(core::Event::kClaimFailed, {{"reason", result.reason},
                                               {"epoch", result.term.epoch},
                                               {"holder", result.term.name}});
    election_.ClaimFailed(core::SuspendAwareNow());
    peers_.OnTermStored(result.term);
    return;
  }
  core::LogEvent(core::Event::kTermClaimed,
                 {{"epoch", result.term.epoch}, {"rows", result.rows.size()}});
  peers_.OnTermWon(result.term);
  if (draining_) {
    peers_.OnTermEnded(result.term.epoch);
    peers_.BeatAll();
    return;
  }
  holder_ = std::make_shared<Holder>(
      HolderParts{parts_.loop, parts_.store, parts_.tasks, parts_.boundary,
                  parts_.metrics},
      settings_, result, [this] { OnLost(); });
  holder_->SetRoutes(routes_);
  holder_->Start();
  peers_.BeatAll();
}

auto EntryService::OnLost() -> void {
  if (holder_ == nullptr) {
    // It was resigning when another process took the term.
    return;
  }
  peers_.OnTermEnded(holder_->term().epoch);
  // The holder is still on the stack.
  parts_.loop.After(0, [lost = std::exchange(holder_, nullptr)] {});
}

auto EntryService::Drain() -> void {
  draining_ = true;
  if (holder_ == nullptr) {
    return;
  }
  holder_->Resign([this] {
    if (holder_ == nullptr) {
      return;
    }
    core::LogEvent(core::Event::kTermResigned,
                   {{"epoch", holder_->term().epoch}});
    peers_.OnTermEnded(holder_->term().epoch);
    parts_.loop.After(0, [ended = std::exchange(holder_, nullptr)] {});
    peers_.BeatAll();
  });
}

auto EntryService::OnOperatorRows(const std::vector<dispatch::Row>& rows)
    -> void {
  for (const auto& row : rows) {
    if (row.key != parts_.boundary.configuration_key || row.value.empty()) {
      continue;
    }
    core::Reason reason;
    auto routes = parts_.boundary.read_routes(row.value, reason);
    if (routes) {
      OfferRoutes(std::move(*routes), "store");
    } else {
      core::LogEvent(core::Event::kRoutesRejected,
                     {{"field", reason.field}, {"reason", reason.message}});
    }
  }
}

auto EntryService::OfferRoutes(RouteTable routes, const std::string& source)
    -> void {
  if (routes.version <= routes_.version) {
    return;
  }
  routes_ = std::move(routes);
  core::LogEvent(core::Event::kRoutesTaken, {{"version", routes_.version},
                                             {"routes", routes_.routes.size()},
                                             {"from", source}});
  if (holder_ != nullptr) {
    holder_->SetRoutes(routes_);
  }
}

auto EntryService::FetchRoutes(const core::Address& peer) -> void {
  if (std::exchange(fetching_routes_, true)) {
    return;
  }
  parts_.http.Send(
      peer, {"GET", kRoutesPath, {}, {}, ""}, kFetchTimeoutMs,
      [this, peer](const net::HttpResult& result) {
        fetching_routes_ = false;
        if (result.exchange != net::Exchange::kAnswered ||
            result.answer.status != net::kHttpOk) {
          return;
        }
        const auto document =
            core::Json::parse(result.answer.body, nullptr, false);
        try {
          OfferRoutes(document.get<RouteTable>(), peer.ToString());
        } catch (const core::Json::exception& error) {
          core::LogEvent(core::Event::kBadMessage,
                         {{"from", peer.ToString()}, {"error", error.what()}});
        }
      });
}

auto EntryService::OnPeerRequest(const net::HttpRequest& request,
                                 const net::HttpReply& reply) -> void {
  try {
    if (request.path == kBeatPath) {
      const auto beat = core::Json::parse(request.body).get<Beat>();
      reply.SendJson(net::kHttpOk, peers_.OnBeat(beat));
    } else if (request.path == kRoutesPath) {
      reply.SendJson(net::kHttpOk, routes_);
    } else if (request.path == kJobPath) {
      OnPeerJob(request, reply);
    } else {
      reply.Send({net::kHttpNotFound, {}, ""});
    }
  } catch (const core::Json::exception& error) {
    core::LogEvent(core::Event::kBadMessage,
                   {{"path", request.path}, {"error", error.what()}});
    reply.SendError({core::ErrorKind::kBadInput, "body", error.what()});
  }
}

auto EntryService::OnPeerJob(const net::HttpRequest& request,
                             const net::HttpReply& reply) -> void {
  const auto asked = core::Json::parse(request.body).get<HolderRequest>();
  const auto for_holder = request.header(kRelayedHeader) == "holder";
  holder_link_.Ask(asked, core::SuspendAwareNow() + kRelayedPatienceMs,
                   for_holder, [reply](const HolderAnswer& answer) {
                     reply.SendJson(net::kHttpOk, core::Json(answer));
                   });
}

}  // namespace kcm::entry
