#include "LibEntry/entry_service.h"

#include <algorithm>
#include <array>
#include <utility>

#include "LibCore/event.h"
#include "LibCore/json_decode.h"
#include "LibNet/http_status.h"

namespace kcm::entry {

namespace {

using core::Millis;

constexpr Millis kTickMs = 50;
/// Interval of the heartbeats to the holder.
constexpr Millis kHeartbeatMs = 300;
/// Interval of reading the term from the store while the holder is unreachable.
constexpr Millis kTermReadMs = 1000;
constexpr Millis kTermReadTimeoutMs = 700;
constexpr Millis kFetchTimeoutMs = 700;
/// How long the store may hold a read of the configuration. A change that it
/// does not announce is found after this time at the latest.
constexpr Millis kOperatorsWaitMs = 1000;
/// A holder whose newest read of the operators' table is older reads it again
/// without waiting for changes: more than a read that the store may hold and
/// its round trip.
constexpr Millis kMaxOperatorsAgeMs = 1500;
/// Reads of the term by which at least one round trip is not prolonged by load.
constexpr int kMinTermReads = 5;
/// A longer round trip to the store means that it is in another region.
constexpr Millis kRemoteRegionRoundTripMs = 20;
constexpr Millis kRelayedTimeoutMs = 700;
/// How long a relayed call waits for routes that its sender has and this
/// process has not: some round trips to the store.
constexpr Millis kRoutesWaitMs = 250;
/// Callers may be told queue lengths that are two seconds old; this is the
/// first part of their way.
constexpr Millis kCountPendingMs = 200;
constexpr Millis kHandoverCheckMs = 500;
/// A process that the store has not answered for this long, some reads of the
/// configuration, is no candidate for the term.
constexpr Millis kStoreSilentMs = 3000;
/// The store answers at least each kOperatorsWaitMs unless it is away.
constexpr Millis kStoreAnswersMs = 1500;
/// A claim is of use if the term can then be held for some time.
constexpr Millis kMinTermMs = 1000;
/// Time in which the end of a term is sent to the others.
constexpr Millis kAnnounceMs = 100;

/// Share of the VM's memory for submissions that wait for an answer of the
/// holder.
constexpr std::size_t kOpenShare = 8;

auto MaxOpenBytes(std::int64_t memory_mb) -> std::size_t {
  constexpr std::size_t kBytesPerMb = std::size_t{1024} * 1024;
  return memory_mb > 0
             ? static_cast<std::size_t>(memory_mb) * kBytesPerMb / kOpenShare
             : HolderClient::kUsualOpenBytes;
}

/// Heartbeats and relayed calls count with those that this process sends.
auto KindOf(const std::string& path) -> std::string {
  struct PathKind {
    const char* path;
    const char* kind;
  };
  constexpr std::array kKinds = {PathKind{kHeartbeatPath, "heartbeat"},
                                 PathKind{kRoutesPath, "routes"},
                                 PathKind{kJobPath, "relay"}};
  for (const auto& row : kKinds) {
    if (path == row.path) {
      return row.kind;
    }
  }
  return "other";
}

}  // namespace

auto EntryService::create(EntryDependencies dependencies,
                          const EntrySettings& settings,
                          core::Reason& reason)
    -> std::unique_ptr<EntryService> {
  std::unique_ptr<EntryService> service(
      new EntryService(dependencies, settings));
  auto* raw = service.get();
  service->peer_server_ = net::HttpServer::create(
      dependencies.loop, settings.peer,
      [raw](const net::HttpRequest& request, const net::HttpReply& reply) {
        raw->OnPeerRequest(request, reply);
      },
      // Peers keep their connections open and send messages of several MB.
      reason, net::HttpLimits{}, dependencies.connections);
  if (service->peer_server_ == nullptr) {
    return nullptr;
  }
  service->operators_follower_ = std::make_unique<TableFollower>(
      dependencies.loop, dependencies.store,
      FollowSettings{platform::Table::kConfiguration, kOperatorsWaitMs, 0},
      [raw](const RowBatch& batch) { raw->OnOperatorRows(batch); },
      [raw] { raw->OnOperatorsRead(); });
  service->peers_.OnNewerRoutes(
      [raw](const core::Address& peer) { raw->FetchRoutes(peer); });
  dependencies.loop.Every(kTickMs, [raw] { raw->RunDueWork(); });
  dependencies.metrics.OnScrape([raw] {
    raw->SampleTraffic();
    raw->SampleWork();
    SetEvacuationGauges(raw->StatusOfEvacuations(), core::WallNow(),
                        raw->dependencies_.metrics);
  });
  dependencies.metrics.ServeDocument("/status", [raw] {
    return ToStatusDocument(raw->StatusOfEvacuations());
  });
  return service;
}

EntryService::EntryService(EntryDependencies dependencies,
                           const EntrySettings& settings)
    : dependencies_(dependencies),
      settings_(settings),
      evacuations_(dependencies.decoders.decode_evacuation_key),
      heartbeat_port_(dependencies.http),
      peers_(heartbeat_port_,
             settings,
             [this] {
               PeerMonitor::LocalState self;
               self.routes_version = routes_.version;
               self.cpu_capacity = CandidateCapacity();
               self.is_store_remote =
                   term_reads_ > 0 &&
                   min_store_round_trip_ms_ > kRemoteRegionRoundTripMs;
               self.is_draining = draining_;
               self.resigned = draining_ && holder_ == nullptr &&
                               state_reader_ == nullptr &&
                               peers_.holder_view().address == settings_.peer;
               if (holder_ != nullptr) {
                 self.is_holder = true;
                 self.store_outage_ms = holder_->StoreOutageMs();
                 self.pending = CountPendingJobs(*holder_);
               }
               if (state_reader_ != nullptr) {
                 self.is_holder = true;
                 self.is_recovering = true;
                 self.store_outage_ms = state_reader_->StoreOutageMs();
               }
               return self;
             }),
      holder_client_(
          dependencies.loop,
          dependencies.http,
          peers_,
          [this] { return holder_; },
          [this] { return StoreAnswered(kStoreAnswersMs); },
          MaxOpenBytes(settings.memory_mb)),
      election_({}, 0),
      routes_confirmation_(
          dependencies.loop,
          [this] {
            return RoutesAge{operators_follower_->current_as_of(),
                             operators_follower_->is_store_away()};
          },
          [this] { operators_follower_->ReadNow(); }) {}

auto EntryService::SetSettings(const EntrySettings& settings) -> void {
  settings_ = settings;
  peers_.SetSettings(settings);
  if (holder_ != nullptr) {
    holder_->SetSettings(settings);
  }
}

auto EntryService::OnNewRoutes(std::function<void(const RouteTable&)> listener)
    -> void {
  routes_listener_ = std::move(listener);
  routes_listener_(routes_);
}

auto EntryService::IsReady() const -> bool {
  constexpr Millis kHolderLostMs = 2000;
  if (draining_ || routes_.version == 0) {
    return false;
  }
  const auto& holder = peers_.holder_view();
  return holder_ != nullptr ||
         (holder.epoch > 0 && !holder.resigned &&
          (!holder.recovering_since ||
           core::SuspendAwareNow() - *holder.recovering_since <
               kHolderLostMs) &&
          core::SuspendAwareNow() - holder.last_contact_at < kHolderLostMs);
}

auto EntryService::PendingJobs(const std::string& queue) const
    -> std::optional<std::int64_t> {
  if (holder_ == nullptr) {
    return peers_.PendingJobs(queue);
  }
  const auto& pending = CountPendingJobs(*holder_);
  const auto found = pending.find(queue);
  return found == pending.end() ? 0 : found->second;
}

auto EntryService::CountPendingJobs(const TermHolder& holder) const
    -> const std::map<std::string, std::int64_t>& {
  const auto now = core::SuspendAwareNow();
  if (now >= count_pending_at_) {
    count_pending_at_ = now + kCountPendingMs;
    pending_ = holder.PendingByQueue();
  }
  return pending_;
}

auto EntryService::SampleTraffic() const -> void {
  auto& metrics = dependencies_.metrics;
  for (const auto& [kind, count] : dependencies_.traffic.counts()) {
    metrics.SetTotal("http_exchanges", static_cast<double>(count.exchanges),
                     "kind", kind);
    metrics.SetTotal("http_bytes_sent", static_cast<double>(count.sent_bytes),
                     "kind", kind);
    metrics.SetTotal("http_bytes_received",
                     static_cast<double>(count.received_bytes), "kind", kind);
  }
}

auto EntryService::SampleWork() const -> void {
  if (holder_ != nullptr) {
    auto& metrics = dependencies_.metrics;
    metrics.Set("work_bytes", static_cast<double>(holder_->work_bytes()));
    metrics.Set("work_max_bytes",
                static_cast<double>(holder_->max_work_bytes()));
  }
}

auto EntryService::StatusOfEvacuations() const -> EvacuationStatus {
  EvacuationStatus status;
  status.name = settings_.name;
  status.since = evacuations_.since();
  const auto& view = peers_.holder_view();
  status.epoch = view.epoch;
  status.holder = view.name;
  // All entry processes serve their metrics on one port.
  status.holder_status = {view.address.host, settings_.metrics.port};
  if (holder_ == nullptr) {
    return status;
  }
  status.is_holder = true;
  status.epoch = holder_->term().epoch;
  status.holder = settings_.name;
  status.holder_status = settings_.metrics;
  if (const auto as_of = operators_follower_->current_as_of(); as_of > 0) {
    status.read_age_ms = core::SuspendAwareNow() - as_of;
  }
  status.may_start = holder_->MayStart();
  status.reports = holder_->ReportEvacuations();
  return status;
}

auto EntryService::RunDueWork() -> void {
  const auto now = core::SuspendAwareNow();
  routes_confirmation_.CheckPause();
  load_reporter_.RecordTick(now, kTickMs);
  if (const auto holder = holder_) {
    RunHolderWork(*holder, now);
  }
  if (now >= next_heartbeat_at_) {
    next_heartbeat_at_ = now + kHeartbeatMs;
    peers_.SendDueHeartbeats();
  }
  if (state_reader_ != nullptr &&
      peers_.holder_view().epoch > won_claim_.term.epoch) {
    state_reader_.reset();
  }
  if (state_reader_ != nullptr && LeavesTerm(now)) {
    AbandonRecovery();
  }
  if (holder_ != nullptr || state_reader_ != nullptr || claiming_) {
    left_at_ = now;
    return;
  }
  if (LeavesTerm(now + kMinTermMs)) {
    return;
  }
  if (election_.IsVacant(peers_.holder_view(), now)) {
    election_.set_claim_delay(ClaimDelay(peers_.SelfAsCandidate(),
                                         peers_.LivePeers(),
                                         peers_.holder_view().cpu_capacity));
  }
  if (const auto plan = election_.PlanClaim(peers_.holder_view(),
                                            peers_.last_peer_contact_at(),
                                            peers_.has_peers(), now)) {
    StartClaim(*plan);
  } else if (now >= next_term_read_at_ &&
             (term_reads_ < kMinTermReads || !peers_.RouteToHolder())) {
    next_term_read_at_ = now + kTermReadMs;
    ReadStoredTerm();
  }
}

auto EntryService::RunHolderWork(TermHolder& holder, Millis now) -> void {
  if (peers_.holder_view().epoch > holder.term().epoch) {
    holder.StepDown();
    return;
  }
  if (settings_.evacuate_ms > 0 &&
      now - operators_follower_->current_as_of() > kMaxOperatorsAgeMs) {
    operators_follower_->ReadNow();
  }
  holder.RunDueWork();
  if (LeavesTerm(now) && holder_.get() == &holder) {
    ResignTerm(holder);
  }
  if (now >= next_handover_check_at_) {
    next_handover_check_at_ = now + kHandoverCheckMs;
    ResignToLargerPeer(holder, now);
  }
  // Also of a holder whose term has ended in this tick.
  if (auto report =
          load_reporter_.TakeReport(now, dependencies_.traffic.counts())) {
    (*report)["epoch"] = holder.term().epoch;
    (*report)["pending"] = CountPendingJobs(holder);
    core::LogEvent(core::Event::kHolderLoad, *report);
  }
}

auto EntryService::ReadStoredTerm() -> void {
  const auto sent_at = core::SuspendAwareNow();
  dependencies_.store.ReadNewest(
      platform::Table::kState, kBeforeTermKey, kTermReadTimeoutMs,
      [this, sent_at](const platform::TableReadResult& read) {
        if (!read.answered) {
          return;
        }
        ++term_reads_;
        min_store_round_trip_ms_ = std::min(min_store_round_trip_ms_,
                                            core::SuspendAwareNow() - sent_at);
        if (const auto term = FindTerm(read.rows)) {
          peers_.OnTermStored(*term);
        }
      });
}

auto EntryService::StartClaim(const ClaimPlan& plan) -> void {
  claiming_ = true;
  const TermRow self{0, settings_.name, settings_.peer, 0,
                     settings_.cpu_capacity};
  const auto claim = std::make_shared<Claim>(
      dependencies_.loop, dependencies_.store, self, peers_.holder_view().epoch,
      plan.watch_ms,
      [this](ClaimResult result) { OnClaimed(std::move(result)); });
  claim->Start();
}

auto EntryService::OnClaimed(ClaimResult result) -> void {
  claiming_ = false;
  if (!result.won) {
    core::LogEvent(core::Event::kClaimFailed, {{"reason", result.reason},
                                               {"epoch", result.term.epoch},
                                               {"holder", result.term.name}});
    election_.RecordClaimFailure(core::SuspendAwareNow(), result.store_away);
    peers_.OnTermStored(result.term);
    return;
  }
  election_.RecordClaimWon();
  peers_.OnTermWon(result.term);
  won_claim_ = std::move(result);
  if (LeavesTerm(core::SuspendAwareNow())) {
    AbandonRecovery();
    return;
  }
  state_reader_ = std::make_unique<StateReader>(
      dependencies_.loop, dependencies_.store,
      [this](std::optional<std::vector<dispatch::StateRow>> rows) {
        OnStateRead(std::move(rows));
      });
  state_reader_->Start();
  // Otherwise others would claim the next term during the read.
  peers_.BroadcastHeartbeat();
}

auto EntryService::AbandonRecovery() -> void {
  state_reader_.reset();
  core::LogEvent(core::Event::kTermResigned,
                 {{"epoch", won_claim_.term.epoch}});
  peers_.OnTermEnded(won_claim_.term.epoch);
  peers_.BroadcastHeartbeat();
}

auto EntryService::OnStateRead(
    std::optional<std::vector<dispatch::StateRow>> rows) -> void {
  const auto term = rows ? FindTerm(*rows) : std::nullopt;
  if (!term || term->epoch != won_claim_.term.epoch) {
    election_.RecordClaimFailure(core::SuspendAwareNow());
    AbandonRecovery();
    return;
  }
  state_reader_.reset();
  core::LogEvent(core::Event::kTermClaimed,
                 {{"epoch", term->epoch}, {"rows", rows->size()}});
  peers_.OnStateRead();
  won_claim_.rows = std::move(*rows);
  holder_ = std::make_shared<TermHolder>(
      TermHolderDependencies{dependencies_.loop, dependencies_.store,
                             dependencies_.tasks, dependencies_.decoders,
                             dependencies_.metrics},
      settings_, won_claim_, [this] { OnTermLost(); });
  won_claim_.rows.clear();
  held_since_ = core::SuspendAwareNow();
  holder_->SetRoutes(routes_);
  UpdateEvacuations(*holder_);
  holder_->Start();
  peers_.BroadcastHeartbeat();
}

auto EntryService::OnTermLost() -> void {
  if (holder_ == nullptr) {
    // Another process took the term during the resignation.
    return;
  }
  peers_.OnTermEnded(holder_->term().epoch);
  ReleaseHolder();
}

auto EntryService::Drain(Millis leave_by) -> void {
  draining_ = true;
  leave_by_ = leave_by;
  left_at_ = core::SuspendAwareNow();
  // The holder learns at once that this process is no successor.
  peers_.SendDueHeartbeats();
  RunDueWork();
}

auto EntryService::LeavesTerm(Millis now) const -> bool {
  return draining_ && (now >= leave_by_ || peers_.HasSuccessor());
}

auto EntryService::HasLeft() const -> bool {
  return draining_ && holder_ == nullptr && state_reader_ == nullptr &&
         !claiming_ && core::SuspendAwareNow() - left_at_ >= kAnnounceMs;
}

auto EntryService::CloseRequests() -> void {
  routes_confirmation_.Close();
  holder_client_.Close();
}

auto EntryService::CandidateCapacity() const -> double {
  return !draining_ && StoreAnswered(kStoreSilentMs) ? settings_.cpu_capacity
                                                     : 0;
}

auto EntryService::StoreAnswered(Millis max_age_ms) const -> bool {
  return operators_follower_ != nullptr &&
         core::SuspendAwareNow() - operators_follower_->answered_at() <
             max_age_ms;
}

auto EntryService::ResignToLargerPeer(TermHolder& holder, Millis now) -> void {
  const auto has_ended = holder_.get() != &holder;
  if (has_ended || draining_ || holder.StoreOutageMs() > 0 ||
      !handover_policy_.ShouldResign(peers_.SelfAsCandidate(),
                                     peers_.LivePeers(), now - held_since_,
                                     holder.IsIdle(), now)) {
    return;
  }
  handover_policy_.RecordResignation(now);
  ResignTerm(holder);
}

auto EntryService::ResignTerm(TermHolder& holder) -> void {
  if (holder.is_resigning()) {
    return;
  }
  holder.Resign([this, epoch = holder.term().epoch] {
    if (holder_ == nullptr) {
      return;
    }
    core::LogEvent(core::Event::kTermResigned, {{"epoch", epoch}});
    peers_.OnTermEnded(epoch);
    ReleaseHolder();
    peers_.BroadcastHeartbeat();
  });
}

auto EntryService::ReleaseHolder() -> void {
  dependencies_.loop.After(0, [ended = std::exchange(holder_, nullptr)] {});
}

auto EntryService::OnOperatorsRead() -> void {
  routes_confirmation_.OnRead();
  if (holder_ != nullptr) {
    holder_->SetEvacuationsCurrentAsOf(operators_follower_->current_as_of());
  }
}

auto EntryService::UpdateEvacuations(TermHolder& holder) const -> void {
  holder.SetEvacuated(evacuations_.DataCentres());
  holder.SetEvacuationsCurrentAsOf(operators_follower_->current_as_of());
}

auto EntryService::OnOperatorRows(const RowBatch& batch) -> void {
  if (evacuations_.Apply(batch, core::WallNow()) && holder_ != nullptr) {
    holder_->SetEvacuated(evacuations_.DataCentres());
  }
  for (const auto& row : batch.rows) {
    if (row.key != dependencies_.decoders.configuration_key ||
        row.value.empty()) {
      continue;
    }
    core::Reason reason;
    auto routes = dependencies_.decoders.decode_routes(row.value, reason);
    if (routes) {
      ApplyNewerRoutes(std::move(*routes), "store");
    } else {
      core::LogEvent(core::Event::kRoutesRejected,
                     {{"field", reason.field}, {"reason", reason.message}});
    }
  }
}

auto EntryService::ApplyNewerRoutes(RouteTable routes,
                                    const std::string& source) -> void {
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
  if (routes_listener_) {
    routes_listener_(routes_);
  }
  std::vector<std::function<void()>> ready;
  std::erase_if(await_routes_, [&](auto& entry) {
    auto& [waiter, awaited] = entry;
    if (awaited.version > routes_.version) {
      return false;
    }
    ready.push_back(std::move(awaited.handler));
    return true;
  });
  for (const auto& handler : ready) {
    handler();
  }
}

auto EntryService::AwaitRoutes(std::int64_t version,
                               std::function<void()> handler) -> void {
  // What this holder starts shows its sender's routes to the workers; a call
  // that it serves by older ones afterwards would contradict that.
  if (holder_ == nullptr || version <= routes_.version) {
    handler();
    return;
  }
  const auto waiter = next_routes_waiter_++;
  await_routes_.emplace(waiter, RoutesWaiter{version, std::move(handler)});
  dependencies_.loop.After(kRoutesWaitMs, [this, waiter] {
    if (auto awaited = await_routes_.extract(waiter)) {
      awaited.mapped().handler();
    }
  });
  operators_follower_->ReadNow();
}

auto EntryService::FetchRoutes(const core::Address& peer) -> void {
  if (std::exchange(fetching_routes_, true)) {
    return;
  }
  dependencies_.http.Send(
      peer, {"GET", kRoutesPath, {}, {}, "", "routes"}, kFetchTimeoutMs,
      [this, peer](const net::HttpResult& result) {
        fetching_routes_ = false;
        if (result.exchange != net::Exchange::kAnswered ||
            result.response.status != net::kHttpOk) {
          return;
        }
        const auto document = core::ParseJson(result.response.body);
        const auto reject = [&](const std::string& error) {
          core::LogEvent(core::Event::kBadMessage,
                         {{"from", peer.ToString()}, {"error", error}});
        };
        if (!core::HasOnlyNumbersInRange(document)) {
          reject("A number in the routes is out of range.");
          return;
        }
        try {
          ApplyNewerRoutes(document.get<RouteTable>(), peer.ToString());
        } catch (const core::Json::exception& error) {
          reject(error.what());
        }
      });
}

auto EntryService::OnPeerRequest(const net::HttpRequest& request,
                                 const net::HttpReply& reply) -> void {
  dependencies_.traffic.CountServed(KindOf(request.path), request, reply);
  try {
    if (request.path == kHeartbeatPath) {
      OnHeartbeat(request, reply);
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

auto EntryService::OnHeartbeat(const net::HttpRequest& request,
                               const net::HttpReply& reply) -> void {
  core::Reason reason;
  const auto heartbeat = DecodeHeartbeat(request.body, reason);
  if (!heartbeat) {
    core::LogEvent(core::Event::kBadMessage,
                   {{"path", request.path}, {"error", reason.message}});
    reply.SendError(reason);
    return;
  }
  reply.SendJson(net::kHttpOk, peers_.HandleHeartbeat(*heartbeat));
}

auto EntryService::OnPeerJob(const net::HttpRequest& request,
                             const net::HttpReply& reply) -> void {
  core::Reason reason;
  const auto asked = DecodeHolderRequest(request.body, reason);
  if (!asked) {
    core::LogEvent(core::Event::kBadMessage,
                   {{"path", request.path}, {"error", reason.message}});
    reply.SendError(reason);
    return;
  }
  const auto for_holder = request.header(kRelayedHeader) == "holder";
  const auto deadline = core::SuspendAwareNow() + kRelayedTimeoutMs;
  AwaitRoutes(asked->routes_version, [this, asked = *asked, deadline,
                                      for_holder, reply] {
    holder_client_.SendRequest(
        asked, deadline, for_holder, [reply](const HolderAnswer& answer) {
          reply.SendJson(net::kHttpOk, core::Json(answer));
        });
  });
}

}  // namespace kcm::entry
