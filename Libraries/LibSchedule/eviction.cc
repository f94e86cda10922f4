#include "LibSchedule/eviction.h"

#include <algorithm>
#include <map>
#include <tuple>
#include <utility>

namespace kcm::schedule {

namespace {

/// Groups that one decision compares.
constexpr std::size_t kMaxGroups = 32;

/// Free capacity of a group of workers while evictions are tried out.
class TrialCapacity {
 public:
  TrialCapacity(const CellModel& model,
                const std::vector<WorkerIndex>& workers,
                const EvictionRequest& request)
      : request_(&request) {
    for (const auto worker : workers) {
      auto& entry = workers_[worker];
      entry.free = model.free.free(worker);
      entry.limit = request.capacity_limit(worker);
      for (const auto* gang : model.gangs_on(worker)) {
        if (gang->preempting) {
          entry.free += CapacityOn(*gang, worker);
        }
      }
      free_members_ += FreeMembersOf(entry);
    }
  }

  auto Evict(const Gang& gang) -> void { ApplyChange(gang, 1); }
  auto Restore(const Gang& gang) -> void { ApplyChange(gang, -1); }

  [[nodiscard]] auto free_members() const -> std::int64_t {
    return free_members_;
  }

  /// @return accelerators that the gang occupies in the group.
  [[nodiscard]] auto AcceleratorsOf(const Gang& gang) const -> std::int64_t {
    std::int64_t members = 0;
    for (const auto& allocation : gang.placement) {
      members += workers_.contains(allocation.worker) ? allocation.members : 0;
    }
    return members * std::max<std::int64_t>(gang.shape.accelerators, 1);
  }

  [[nodiscard]] auto ChoosePlacement() const -> Placement {
    std::vector<std::pair<std::int64_t, WorkerIndex>> by_free_members;
    for (const auto& [worker, entry] : workers_) {
      if (const auto free_members = FreeMembersOf(entry); free_members > 0) {
        by_free_members.emplace_back(free_members, worker);
      }
    }
    std::sort(by_free_members.begin(), by_free_members.end());
    auto missing = request_->members;
    for (const auto& [free_members, worker] : by_free_members) {
      if (free_members >= missing) {
        return {{worker, missing}};
      }
    }
    Placement placement;
    for (auto next = by_free_members.rbegin();
         next != by_free_members.rend() && missing > 0; ++next) {
      const auto part = std::min(missing, next->first);
      placement.push_back({next->second, part});
      missing -= part;
    }
    return placement;
  }

 private:
  struct WorkerCapacity {
    Capacity free;
    Capacity limit;
  };

  static auto CapacityOn(const Gang& gang, WorkerIndex worker) -> Capacity {
    std::int64_t members = 0;
    for (const auto& allocation : gang.placement) {
      members += allocation.worker == worker ? allocation.members : 0;
    }
    return CapacityOf(gang.shape, members);
  }

  [[nodiscard]] auto FreeMembersOf(const WorkerCapacity& entry) const
      -> std::int64_t {
    return MembersThatFit(Least(entry.free, entry.limit), request_->shape);
  }

  auto ApplyChange(const Gang& gang, std::int64_t sign) -> void {
    for (const auto& allocation : gang.placement) {
      const auto found = workers_.find(allocation.worker);
      if (found == workers_.end()) {
        continue;
      }
      free_members_ -= FreeMembersOf(found->second);
      found->second.free += CapacityOf(gang.shape, sign * allocation.members);
      free_members_ += FreeMembersOf(found->second);
    }
  }

  const EvictionRequest* request_;
  std::map<WorkerIndex, WorkerCapacity> workers_;
  std::int64_t free_members_ = 0;
};

struct Candidate {
  double cost = 0;
  double sort_key = 0;
  Gang* gang = nullptr;
};

auto CandidatesOn(const CellModel& model,
                  const std::vector<WorkerIndex>& workers,
                  const EvictionRequest& request,
                  const TrialCapacity& trial) -> std::vector<Candidate> {
  std::map<std::string, Candidate> by_id;
  for (const auto worker : workers) {
    for (auto* gang : model.gangs_on(worker)) {
      if (gang->preempting || by_id.contains(gang->id)) {
        continue;
      }
      if (const auto cost = request.cost_of(*gang)) {
        const auto accelerators =
            static_cast<double>(trial.AcceleratorsOf(*gang));
        by_id[gang->id] = {
            *cost, request.by_max_cost ? *cost : *cost / accelerators, gang};
      }
    }
  }
  std::vector<Candidate> candidates;
  candidates.reserve(by_id.size());
  for (const auto& [id, candidate] : by_id) {
    candidates.push_back(candidate);
  }
  std::stable_sort(candidates.begin(), candidates.end(),
                   [](const Candidate& left, const Candidate& right) {
                     return left.sort_key < right.sort_key;
                   });
  return candidates;
}

}  // namespace

auto PlanEviction(const CellModel& model,
                  const std::vector<WorkerIndex>& workers,
                  const EvictionRequest& request)
    -> std::optional<EvictionPlan> {
  TrialCapacity trial(model, workers, request);
  std::vector<Candidate> chosen;
  if (trial.free_members() < request.members) {
    for (const auto& candidate : CandidatesOn(model, workers, request, trial)) {
      trial.Evict(*candidate.gang);
      chosen.push_back(candidate);
      if (trial.free_members() >= request.members) {
        break;
      }
    }
  }
  if (trial.free_members() < request.members) {
    return std::nullopt;
  }
  std::sort(chosen.begin(), chosen.end(),
            [](const Candidate& left, const Candidate& right) {
              return left.cost > right.cost;
            });
  EvictionPlan plan;
  for (const auto& candidate : chosen) {
    trial.Restore(*candidate.gang);
    if (trial.free_members() >= request.members) {
      continue;
    }
    trial.Evict(*candidate.gang);
    plan.victims.push_back(candidate.gang);
    plan.cost = request.by_max_cost ? std::max(plan.cost, candidate.cost)
                                    : plan.cost + candidate.cost;
  }
  plan.placement = trial.ChoosePlacement();
  return plan;
}

auto CandidateGroups(const CellModel& model,
                     const CapacityView& view,
                     const state::Shape& shape)
    -> std::vector<std::vector<WorkerIndex>> {
  std::vector<std::vector<WorkerIndex>> groups;
  const auto& index = view.ShapeIndexFor(shape);
  const auto collect = [&](const FreeCapacityIndex& candidates, auto group_of) {
    const auto& ordered = candidates.ordered();
    for (auto next = ordered.lower_bound({shape.members, 0});
         next != ordered.end() && groups.size() < kMaxGroups; ++next) {
      groups.push_back(group_of(next->second));
    }
  };
  if (shape.adjacency == state::Adjacency::kSameWorker) {
    collect(index.workers(), [](std::uint32_t worker) {
      return std::vector<WorkerIndex>{worker};
    });
    return groups;
  }
  collect(index.racks(),
          [&](std::uint32_t rack) { return model.table.rack_workers(rack); });
  if (shape.adjacency == state::Adjacency::kSameRack || !groups.empty()) {
    return groups;
  }
  collect(index.pairs(),
          [&](std::uint32_t rack) { return view.WorkersOf(rack, true); });
  if (shape.adjacency == state::Adjacency::kNeighbouringRacks ||
      !groups.empty() || index.total() < shape.members) {
    return groups;
  }
  std::vector<WorkerIndex> workers;
  std::int64_t free_members = 0;
  const auto& racks = index.racks().ordered();
  for (auto next = racks.rbegin();
       next != racks.rend() && free_members < shape.members; ++next) {
    const auto& members = model.table.rack_workers(next->second);
    workers.insert(workers.end(), members.begin(), members.end());
    free_members += next->first;
  }
  groups.push_back(std::move(workers));
  return groups;
}

auto FindCheapestEviction(const CellModel& model,
                          const CapacityView& view,
                          const EvictionRequest& request)
    -> std::optional<EvictionPlan> {
  auto shape = request.shape;
  shape.members = request.members;
  std::optional<EvictionPlan> best;
  for (const auto& group : CandidateGroups(model, view, shape)) {
    auto plan = PlanEviction(model, group, request);
    if (plan && (!best || plan->cost < best->cost)) {
      best = std::move(plan);
    }
  }
  return best;
}

}  // namespace kcm::schedule
