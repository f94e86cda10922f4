#pragma once

#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "LibEntry/claim.h"
#include "LibEntry/client_request_handler.h"
#include "LibEntry/election.h"
#include "LibEntry/entry_settings.h"
#include "LibEntry/evacuation_status.h"
#include "LibEntry/evacuation_table.h"
#include "LibEntry/handover_policy.h"
#include "LibEntry/holder_client.h"
#include "LibEntry/http_heartbeat_port.h"
#include "LibEntry/load_reporter.h"
#include "LibEntry/peer_monitor.h"
#include "LibEntry/platform_decoders.h"
#include "LibEntry/route_table.h"
#include "LibEntry/routes_confirmation.h"
#include "LibEntry/state_reader.h"
#include "LibEntry/table_follower.h"
#include "LibEntry/term_holder.h"
#include "LibNet/event_loop.h"
#include "LibNet/http_client.h"
#include "LibNet/http_server.h"
#include "LibNet/traffic_meter.h"
#include "LibNode/metrics.h"

namespace kcm::entry {

/// What an EntryService uses; outlives it.
struct EntryDependencies {
  net::EventLoop& loop;
  net::HttpClient& http;
  platform::KeyedStore& store;
  /// Sends calls to workers.
  platform::TaskPort& tasks;
  const PlatformDecoders& decoders;
  node::Metrics& metrics;
  net::TrafficMeter& traffic;
  /// Connections of all servers of the process; nullptr for bounds of the
  /// server for peers alone.
  std::shared_ptr<net::ConnectionTable> connections = nullptr;
};

/// Core of an entry process, which answers clients and, while it holds the
/// term, places all jobs. Follows the configuration, exchanges heartbeats with
/// the other entry processes (its peers), answers them, and claims the term
/// when it is vacant.
class EntryService {
 public:
  /// Listens on the address for peers.
  /// @return the service, or nullptr with `reason` set.
  [[nodiscard]] static auto create(EntryDependencies dependencies,
                                   const EntrySettings& settings,
                                   core::Reason& reason)
      -> std::unique_ptr<EntryService>;

  auto SetSettings(const EntrySettings& settings) -> void;

  /// Calls `listener` with each newer configuration, and with the present one
  /// at once.
  auto OnNewRoutes(std::function<void(const RouteTable&)> listener) -> void;

  /// Is no longer ready, and leaves the term to the others: resigns it as soon
  /// as one of them is known that does not drain as well, and claims it only
  /// while none is.
  /// @param leave_by when to resign in any case, on the suspend-aware clock.
  auto Drain(core::Millis leave_by) -> void;

  /// @return whether Drain() was called, and this process has no part in the
  ///     term any more and has announced that.
  [[nodiscard]] auto HasLeft() const -> bool;

  /// Answers all open requests, and later ones at once, as this process exits.
  auto CloseRequests() -> void;

  /// @return whether this process can serve callers.
  [[nodiscard]] auto IsReady() const -> bool;

  [[nodiscard]] auto routes() const -> const RouteTable& { return routes_; }
  [[nodiscard]] auto routes_confirmation() -> RoutesConfirmation& {
    return routes_confirmation_;
  }
  [[nodiscard]] auto holder_client() -> HolderClient& { return holder_client_; }
  /// @return number of calls of other processes received and not yet answered.
  [[nodiscard]] auto pending_peer_calls() const -> int {
    return peer_server_->pending();
  }
  /// @return number of jobs of a queue in phase kQueued; nothing if it is
  ///     unknown or outdated.
  [[nodiscard]] auto PendingJobs(const std::string& queue) const
      -> std::optional<std::int64_t>;

 private:
  EntryService(EntryDependencies dependencies, const EntrySettings& settings);

  auto RunDueWork() -> void;
  /// Does what is due of the term. The holder outlives the call, also if the
  /// term ends meanwhile.
  auto RunHolderWork(TermHolder& holder, core::Millis now) -> void;
  auto SampleTraffic() const -> void;
  /// Calls a handler once the routes have a version, or after a short time; at
  /// once if this process does not hold the term.
  auto AwaitRoutes(std::int64_t version, std::function<void()> handler) -> void;
  /// Sets the metrics on what accepted jobs take, on the holder only.
  auto SampleWork() const -> void;
  /// @return what this process tells operators of evacuated data centres.
  [[nodiscard]] auto StatusOfEvacuations() const -> EvacuationStatus;
  /// @return capacity for holding the term; zero if this process cannot.
  [[nodiscard]] auto CandidateCapacity() const -> double;
  /// @return whether the store has answered within this time.
  [[nodiscard]] auto StoreAnswered(core::Millis max_age_ms) const -> bool;
  /// @return the number of jobs in phase kQueued, by queue, as of a moment ago.
  [[nodiscard]] auto CountPendingJobs(const TermHolder& holder) const
      -> const std::map<std::string, std::int64_t>&;
  auto ResignToLargerPeer(TermHolder& holder, core::Millis now) -> void;
  /// @return whether this process gives the term up, or does not claim it, as
  ///     it drains.
  [[nodiscard]] auto LeavesTerm(core::Millis now) const -> bool;
  auto ResignTerm(TermHolder& holder) -> void;
  /// Holds the term no more. The holder, which may be on the call stack, is
  /// destroyed afterwards.
  auto ReleaseHolder() -> void;
  auto StartClaim(const ClaimPlan& plan) -> void;
  auto OnClaimed(ClaimResult result) -> void;
  auto OnStateRead(std::optional<std::vector<dispatch::StateRow>> rows) -> void;
  /// Gives up a term whose state has not been read.
  auto AbandonRecovery() -> void;
  auto OnTermLost() -> void;
  auto ReadStoredTerm() -> void;
  auto OnOperatorRows(const RowBatch& batch) -> void;
  /// The store has answered a read of the operators' table, whose rows are
  /// applied.
  auto OnOperatorsRead() -> void;
  /// Passes the evacuated data centres to the holder.
  auto UpdateEvacuations(TermHolder& holder) const -> void;
  auto ApplyNewerRoutes(RouteTable routes, const std::string& source) -> void;
  auto FetchRoutes(const core::Address& peer) -> void;
  auto OnPeerRequest(const net::HttpRequest& request,
                     const net::HttpReply& reply) -> void;
  auto OnHeartbeat(const net::HttpRequest& request, const net::HttpReply& reply)
      -> void;
  auto OnPeerJob(const net::HttpRequest& request, const net::HttpReply& reply)
      -> void;

  EntryDependencies dependencies_;
  EntrySettings settings_;
  RouteTable routes_;
  EvacuationTable evacuations_;
  std::function<void(const RouteTable&)> routes_listener_;
  /// Any call of the holder, or of the peers, may end the term and reset this.
  /// A function that makes one and goes on with the holder takes it as an
  /// argument.
  std::shared_ptr<TermHolder> holder_;
  /// Set while this process holds a term whose state it has not read yet.
  std::unique_ptr<StateReader> state_reader_;
  /// The last claim that was won.
  ClaimResult won_claim_;
  bool draining_ = false;
  core::Millis leave_by_ = 0;
  /// When this process last had a part in the term.
  core::Millis left_at_ = 0;
  bool claiming_ = false;
  bool fetching_routes_ = false;
  /// A relayed call that waits for a version of the routes.
  struct RoutesWaiter {
    std::int64_t version = 0;
    std::function<void()> handler;
  };
  std::map<std::int64_t, RoutesWaiter> await_routes_;
  std::int64_t next_routes_waiter_ = 0;
  HttpHeartbeatPort heartbeat_port_;
  PeerMonitor peers_;
  HolderClient holder_client_;
  Election election_;
  HandoverPolicy handover_policy_;
  core::Millis held_since_ = 0;
  LoadReporter load_reporter_;
  core::Millis next_handover_check_at_ = 0;
  mutable std::map<std::string, std::int64_t> pending_;
  mutable core::Millis count_pending_at_ = 0;
  /// Answered reads of the term, and the shortest round trip of one.
  int term_reads_ = 0;
  core::Millis min_store_round_trip_ms_ =
      std::numeric_limits<core::Millis>::max();
  std::unique_ptr<TableFollower> operators_follower_;
  RoutesConfirmation routes_confirmation_;
  std::unique_ptr<net::HttpServer> peer_server_;
  core::Millis next_heartbeat_at_ = 0;
  core::Millis next_term_read_at_ = 0;
};

}  // namespace kcm::entry
