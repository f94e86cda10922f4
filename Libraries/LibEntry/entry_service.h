#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "LibEntry/boundary.h"
#include "LibEntry/claim.h"
#include "LibEntry/election.h"
#include "LibEntry/entry_settings.h"
#include "LibEntry/front_desk.h"
#include "LibEntry/holder.h"
#include "LibEntry/holder_link.h"
#include "LibEntry/peer_link.h"
#include "LibEntry/route_table.h"
#include "LibEntry/table_follower.h"
#include "LibNet/event_loop.h"
#include "LibNet/http_client.h"
#include "LibNet/http_server.h"
#include "LibNode/metrics.h"

namespace kcm::entry {

/// What a process brings to its entry service.
struct EntryParts {
  net::EventLoop& loop;
  net::HttpClient& http;
  platform::KeyedStore& store;
  platform::TaskPort& tasks;
  const Boundary& boundary;
  node::Metrics& metrics;
};

/// The whole work of one entry process: it follows the configuration, talks to
/// its peers, claims the term when it is vacant and answers its peers.
class EntryService {
 public:
  /// Opens the address for peers.
  /// @return the service, or nothing with `reason`.
  [[nodiscard]] static auto create(EntryParts parts,
                                   const EntrySettings& settings,
                                   core::Reason& reason)
      -> std::unique_ptr<EntryService>;

  auto SetSettings(const EntrySettings& settings) -> void;

  /// Gives the term up and takes no more callers.
  auto Drain() -> void;

  /// @return whether callers may be sent here.
  [[nodiscard]] auto IsReady() const -> bool;

  [[nodiscard]] auto routes() const -> const RouteTable& { return routes_; }
  [[nodiscard]] auto holder_link() -> HolderLink& { return holder_link_; }
  [[nodiscard]] auto PendingOf(const std::string& queue) const
      -> std::optional<std::int64_t>;

 private:
  EntryService(EntryParts parts, const EntrySettings& settings);

  auto Tick() -> void;
  auto StartClaim(const ClaimPlan& plan) -> void;
  auto OnClaimed(ClaimResult result) -> void;
  auto OnLost() -> void;
  auto PeekTerm() -> void;
  auto OnOperatorRows(const std::vector<dispatch::Row>& rows) -> void;
  auto OfferRoutes(RouteTable routes, const std::string& source) -> void;
  auto FetchRoutes(const core::Address& peer) -> void;
  auto OnPeerRequest(const net::HttpRequest& request,
                     const net::HttpReply& reply) -> void;
  auto OnPeerJob(const net::HttpRequest& request, const net::HttpReply& reply)
      -> void;

  EntryParts parts_;
  EntrySettings settings_;
  RouteTable routes_;
  std::shared_ptr<Holder> holder_;
  bool draining_ = false;
  bool claiming_ = false;
  bool fetching_routes_ = false;
  PeerLink peers_;
  HolderLink holder_link_;
  Election election_;
  std::unique_ptr<TableFollower> operators_;
  std::unique_ptr<net::HttpServer> peer_server_;
  core::Millis next_beat_at_ = 0;
  core::Millis next_peek_at_ = 0;
};

}  // namespace kcm::entry
