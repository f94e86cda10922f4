#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "LibDispatch/placement_finder.h"

namespace kcm::dispatch {

/// The requests for which a search of one planning pass found nothing.
///
/// Capacity only shrinks within a pass, so that a request which asks for at
/// least as much as a failed one fails too and need not be searched for.
class FailedSearches {
 public:
  /// What the search must find to succeed.
  enum class Goal : std::uint8_t {
    /// All tasks of a gang, or one task of another step.
    kPlacement,
    kAllTasks,
  };

  explicit FailedSearches(Goal goal) : goal_(goal) {}

  /// Records a request for which the search failed.
  /// @param least_run_ms the search fails for all values of
  ///     PlacementRequest::backfill_ms from this one on.
  /// @param most_loss for evictions, the search fails for all requests that
  ///     may lose at most this much work.
  auto Add(const PlacementRequest& request,
           core::Millis least_run_ms,
           double most_loss) -> void;

  /// @return whether the search for a request is known to fail.
  [[nodiscard]] auto Cover(const PlacementRequest& request,
                           double may_lose) const -> bool;

 private:
  struct Failure {
    std::string service;
    Resources demand;
    std::int64_t tasks = 0;
    core::Millis least_run_ms = 0;
    double most_loss = 0;
    bool guaranteed = false;
    std::int64_t priority = 0;
    std::string required_label;
    /// Set if the search was confined to a rack: such a failure holds only for
    /// equal requests, as a larger one may be allowed to use several racks.
    bool one_rack = false;
    std::string data_rack;
    bool gang = false;
    std::int64_t all_tasks = 0;
  };

  [[nodiscard]] auto NeededTasks(const PlacementRequest& request) const
      -> std::int64_t;
  [[nodiscard]] auto Holds(const Failure& failure,
                           const PlacementRequest& request,
                           double may_lose) const -> bool;

  Goal goal_;
  std::vector<Failure> failures_;
};

}  // namespace kcm::dispatch
