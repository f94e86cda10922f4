#include "LibDispatch/failed_searches.h"

#include <algorithm>

namespace kcm::dispatch {

namespace {

auto IsAtLeast(const Resources& left, const Resources& right) -> bool {
  return left.millicores >= right.millicores &&
         left.memory_mb >= right.memory_mb &&
         left.accelerators >= right.accelerators;
}

/// @return whether only the step's demand limits the eligible workers.
auto IsUnlimited(const PlacementRequest& request) -> bool {
  return request.avoid.empty() && request.step->max_per_worker == 0;
}

}  // namespace

auto FailedSearches::NeededTasks(const PlacementRequest& request) const
    -> std::int64_t {
  return goal_ == Goal::kAllTasks || request.step->gang ? request.tasks : 1;
}

auto FailedSearches::Add(const PlacementRequest& request,
                         core::Millis least_run_ms,
                         double most_loss) -> void {
  const auto& step = *request.step;
  // A request that avoids workers says nothing about others.
  if (IsUnlimited(request)) {
    failures_.push_back({request.service, step.demand, NeededTasks(request),
                         least_run_ms, most_loss, request.guaranteed,
                         request.priority, step.required_label, step.same_rack,
                         step.data_rack, step.gang, request.tasks});
  }
}

auto FailedSearches::Holds(const Failure& failure,
                           const PlacementRequest& request,
                           double may_lose) const -> bool {
  const auto& step = *request.step;
  const auto may_evict_more =
      !failure.guaranteed &&
      (request.guaranteed || request.priority < failure.priority);
  if (failure.service != request.service || may_evict_more ||
      may_lose > failure.most_loss ||
      request.backfill_ms < failure.least_run_ms ||
      !IsAtLeast(step.demand, failure.demand)) {
    return false;
  }
  if (failure.one_rack || !failure.data_rack.empty()) {
    return IsUnlimited(request) && step.demand == failure.demand &&
           request.tasks == failure.all_tasks && step.gang == failure.gang &&
           step.same_rack == failure.one_rack &&
           step.data_rack == failure.data_rack &&
           step.required_label == failure.required_label;
  }
  return NeededTasks(request) >= failure.tasks &&
         (failure.required_label.empty() ||
          failure.required_label == step.required_label);
}

auto FailedSearches::Cover(const PlacementRequest& request,
                           double may_lose) const -> bool {
  return std::any_of(failures_.begin(), failures_.end(),
                     [&](const Failure& failure) {
                       return Holds(failure, request, may_lose);
                     });
}

}  // namespace kcm::dispatch
