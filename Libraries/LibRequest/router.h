#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "LibRequest/minion_view.h"

namespace kcm::request {

/// Where this gateway stands and how it shares minions with the others.
struct RouterSettings {
  std::string gateway;
  std::vector<std::string> gateways;
  std::string data_centre;
  std::string region;
  std::int64_t slots_per_minion = 8;
};

/// Chooses minions for requests; pure state without sockets or clocks.
class Router {
 public:
  explicit Router(RouterSettings settings);

  /// Replaces the list of minions; requests in flight stay counted.
  auto SetMinions(const std::vector<MinionView>& minions) -> void;

  /// Takes a slot of the least loaded minion, the nearest zone first.
  /// @param avoid minions that this request has tried already.
  /// @return the minion, or nothing while all owned slots are taken.
  [[nodiscard]] auto Acquire(const std::set<std::string>& avoid)
      -> std::optional<std::string>;

  /// Gives a slot back.
  auto Release(const std::string& minion) -> void;

  /// Gives a minion no more requests, whatever the list says.
  auto MarkLeaving(const std::string& minion) -> void;

  /// @return whether any listed minion accepts work.
  [[nodiscard]] auto HasMinions() const -> bool;

  /// @return requests in flight to all minions.
  [[nodiscard]] auto in_flight() const -> std::int64_t;

 private:
  struct Minion {
    MinionView view;
    std::int64_t owned = 0;
    std::int64_t in_flight = 0;
    bool listed = false;
    bool leaving = false;
  };

  [[nodiscard]] auto DistanceTo(const Minion& minion) const -> int;

  RouterSettings settings_;
  std::map<std::string, Minion> minions_;
};

}  // namespace kcm::request
