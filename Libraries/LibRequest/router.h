#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "LibCore/clock.h"
#include "LibRequest/minion_health.h"
#include "LibRequest/minion_view.h"
#include "LibRequest/routing_strategy.h"
#include "LibRequest/share_ledger.h"

namespace kcm::request {

/// Location of this gateway, and how it chooses minions.
struct RouterSettings {
  std::string data_centre;
  std::string region;
  RoutingStrategy strategy = RoutingStrategy::kLeastLoaded;
  std::int64_t slots_per_minion = 8;
};

/// Constraints on the minion for one attempt of a request.
struct RouteQuery {
  /// Minions that earlier attempts of this request were sent to.
  const std::set<std::string>& excluded;
  core::Millis now = 0;
  /// Time at which the gateway abandons the attempt.
  core::Millis attempt_deadline = 0;
  bool idempotent = true;
  /// Whether a minion of another region may be chosen.
  bool may_cross_regions = false;
};

/// A minion and the slot acquired on it.
struct Route {
  std::string minion;
  AcquiredUnit slot;
  bool crosses_regions = false;
  core::Millis sent_at = 0;
  /// Time at which the gateway abandons the attempt.
  core::Millis attempt_deadline = 0;
  /// Time by which the minion has ended the attempt, abandoned or not.
  core::Millis latest_end = 0;
};

/// Chooses minions for requests and ejects unhealthy ones. Slots are acquired
/// from the ledger. No I/O: the caller passes the time and reports outcomes.
class Router {
 public:
  Router(RouterSettings settings, ShareLedger& ledger);

  /// Replaces the list of minions.
  auto SetMinions(const std::vector<MinionView>& minions) -> void;

  /// @return the time by which a minion has ended an attempt, abandoned or not.
  [[nodiscard]] auto LatestEnd(const RouteQuery& query) const -> core::Millis;

  /// Chooses a minion and acquires a slot on it.
  /// @return the route, or nothing while no eligible minion has a free slot.
  [[nodiscard]] auto Acquire(const RouteQuery& query) -> std::optional<Route>;

  /// Records how an attempt ended and releases its slot.
  auto RecordAnswer(const Route& route, core::Millis now) -> void;
  /// The minion refused before it ran anything, being full or leaving; this
  /// does not count as a failure.
  auto RecordRefusal(const Route& route, core::Millis now) -> void;
  /// @param may_still_run holds the slot until Route::latest_end.
  auto RecordFailure(const Route& route, core::Millis now, bool may_still_run)
      -> void;

  /// Sends a minion no requests for a while, whatever the VM list says.
  /// @return whether it accepted requests before.
  auto MarkLeaving(const std::string& minion, core::Millis now) -> bool;

  /// Ejects a minion that another gateway has ejected, unless more than half
  /// of the minions would be ejected.
  auto MarkSuspected(const std::string& minion, core::Millis now) -> void;

  /// Updates the statistics and ejects outliers, at most half of the minions
  /// at a time.
  /// @return the minions ejected by this call.
  [[nodiscard]] auto UpdateHealth(core::Millis now) -> std::vector<std::string>;

  /// Requests more slots of all accepting minions from the ledger.
  auto RequestSlots(core::Millis now) -> void;

  /// @return whether a listed minion accepts requests; true before the first
  ///     list.
  [[nodiscard]] auto HasAcceptingMinion(core::Millis now) const -> bool;

  /// @return mean service time in milliseconds.
  [[nodiscard]] auto service_time() const -> double {
    return service_time_.mean();
  }

  /// @return requests per second: the larger of the measured rate of answers
  /// and the rate that the held slots allow at the mean service time.
  [[nodiscard]] auto throughput() const -> double { return throughput_; }

  /// @return requests in flight to all minions.
  [[nodiscard]] auto in_flight() const -> std::int64_t { return in_flight_; }

 private:
  struct Minion {
    MinionView view;
    std::string resource;
    MinionHealth health;
    std::int64_t in_flight = 0;
    bool listed = false;
    core::Millis leaving_until = 0;
  };
  using Choose = auto(Router::*)(const std::vector<Minion*>& candidates)
                     -> Minion*;
  struct StrategyTraits;

  static auto TraitsOf(RoutingStrategy strategy) -> const StrategyTraits&;
  auto ChooseLeastLoaded(const std::vector<Minion*>& candidates) -> Minion*;
  auto ChooseRoundRobin(const std::vector<Minion*>& candidates) -> Minion*;
  auto ChooseRandomTwo(const std::vector<Minion*>& candidates) -> Minion*;
  [[nodiscard]] auto Accepts(const Minion& minion, core::Millis now) const
      -> bool;
  [[nodiscard]] auto IsCandidate(const Minion& minion,
                                 const RouteQuery& query) const -> bool;
  [[nodiscard]] auto DistanceTo(const Minion& minion) const -> int;
  [[nodiscard]] auto MayEjectOneMore(core::Millis now) const -> bool;
  auto UpdateMedian(core::Millis now) -> void;
  auto UpdateThroughput(core::Millis now) -> void;
  auto EndAttempt(const Route& route, core::Millis now, core::Millis free_at)
      -> Minion&;

  RouterSettings settings_;
  ShareLedger& ledger_;
  std::map<std::string, Minion> minions_;
  bool list_received_ = false;
  std::uint64_t selection_counter_ = 0;
  ServiceTime service_time_;
  double median_ms_ = 0;
  double throughput_ = 0;
  double answers_per_s_ = 0;
  std::int64_t answers_since_update_ = 0;
  core::Millis throughput_updated_at_ = -1;
  std::int64_t in_flight_ = 0;
};

}  // namespace kcm::request
