#include "LibSchedule/eviction.h"

#include <algorithm>
#include <map>
#include <tuple>
#include <utility>

namespace kcm::schedule {

namespace {

/// Groups that one decision compares.
constexpr std::size_t kMaxGroups = 32;

/// What is free on each worker of the group while victims come and go.
class Scratch {
 public:
  Scratch(const CellModel& model,
          const std::vector<WorkerIndex>& workers,
          const EvictionRequest& request)
      : request_(&request) {
    for (const auto worker : workers) {
      auto& slot = slots_[worker];
      slot.free = model.free.free(worker);
      slot.ceiling = request.ceiling(worker);
      for (const auto* gang : model.gangs_on(worker)) {
        if (gang->preempting) {
          slot.free += Share(*gang, worker);
        }
      }
      room_ += RoomOf(slot);
    }
  }

  auto Evict(const Gang& gang) -> void { Change(gang, 1); }
  auto Restore(const Gang& gang) -> void { Change(gang, -1); }

  [[nodiscard]] auto room() const -> std::int64_t { return room_; }

  /// @return accelerators that the gang holds in the group.
  [[nodiscard]] auto ShareOf(const Gang& gang) const -> std::int64_t {
    std::int64_t share = 0;
    for (const auto& seat : gang.seats) {
      share += slots_.contains(seat.worker) ? seat.members : 0;
    }
    return share * std::max<std::int64_t>(gang.shape.accelerators, 1);
  }

  [[nodiscard]] auto Choose() const -> Seats {
    std::vector<std::pair<std::int64_t, WorkerIndex>> rooms;
    for (const auto& [worker, slot] : slots_) {
      if (const auto room = RoomOf(slot); room > 0) {
        rooms.emplace_back(room, worker);
      }
    }
    std::sort(rooms.begin(), rooms.end());
    auto missing = request_->members;
    for (const auto& [room, worker] : rooms) {
      if (room >= missing) {
        return {{worker, missing}};
      }
    }
    Seats seats;
    for (auto next = rooms.rbegin(); next != rooms.rend() && missing > 0;
         ++next) {
      const auto part = std::min(missing, next->first);
      seats.push_back({next->second, part});
      missing -= part;
    }
    return seats;
  }

 private:
  struct Slot {
    Capacity free;
    Capacity ceiling;
  };

  static auto Share(const Gang& gang, WorkerIndex worker) -> Capacity {
    std::int64_t members = 0;
    for (const auto& seat : gang.seats) {
      members += seat.worker == worker ? seat.members : 0;
    }
    return CapacityOf(gang.shape, members);
  }

  [[nodiscard]] auto RoomOf(const Slot& slot) const -> std::int64_t {
    return MembersThatFit(Least(slot.free, slot.ceiling), request_->shape);
  }

  auto Change(const Gang& gang, std::int64_t sign) -> void {
    for (const auto& seat : gang.seats) {
      const auto found = slots_.find(seat.worker);
      if (found == slots_.end()) {
        continue;
      }
      room_ -= RoomOf(found->second);
      found->second.free += CapacityOf(gang.shape, sign * seat.members);
      room_ += RoomOf(found->second);
    }
  }

  const EvictionRequest* request_;
  std::map<WorkerIndex, Slot> slots_;
  std::int64_t room_ = 0;
};

struct Candidate {
  double price = 0;
  double density = 0;
  Gang* gang = nullptr;
};

auto CandidatesOn(const CellModel& model,
                  const std::vector<WorkerIndex>& workers,
                  const EvictionRequest& request,
                  const Scratch& scratch) -> std::vector<Candidate> {
  std::map<std::string, Candidate> by_id;
  for (const auto worker : workers) {
    for (auto* gang : model.gangs_on(worker)) {
      if (gang->preempting || by_id.contains(gang->id)) {
        continue;
      }
      if (const auto price = request.price(*gang)) {
        const auto share = static_cast<double>(scratch.ShareOf(*gang));
        by_id[gang->id] = {*price, request.by_dearest ? *price : *price / share,
                           gang};
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
                     return left.density < right.density;
                   });
  return candidates;
}

}  // namespace

auto PlanEviction(const CellModel& model,
                  const std::vector<WorkerIndex>& workers,
                  const EvictionRequest& request)
    -> std::optional<EvictionPlan> {
  Scratch scratch(model, workers, request);
  std::vector<Candidate> chosen;
  if (scratch.room() < request.members) {
    for (const auto& candidate :
         CandidatesOn(model, workers, request, scratch)) {
      scratch.Evict(*candidate.gang);
      chosen.push_back(candidate);
      if (scratch.room() >= request.members) {
        break;
      }
    }
  }
  if (scratch.room() < request.members) {
    return std::nullopt;
  }
  std::sort(chosen.begin(), chosen.end(),
            [](const Candidate& left, const Candidate& right) {
              return left.price > right.price;
            });
  EvictionPlan plan;
  for (const auto& candidate : chosen) {
    scratch.Restore(*candidate.gang);
    if (scratch.room() >= request.members) {
      continue;
    }
    scratch.Evict(*candidate.gang);
    plan.victims.push_back(candidate.gang);
    plan.cost = request.by_dearest ? std::max(plan.cost, candidate.price)
                                   : plan.cost + candidate.price;
  }
  plan.seats = scratch.Choose();
  return plan;
}

auto CandidateGroups(const CellModel& model,
                     const CapacityView& view,
                     const state::Shape& shape)
    -> std::vector<std::vector<WorkerIndex>> {
  std::vector<std::vector<WorkerIndex>> groups;
  const auto& index = view.IndexOf(shape);
  const auto collect = [&](const RoomIndex& rooms, auto group_of) {
    const auto& ordered = rooms.ordered();
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
  std::int64_t room = 0;
  const auto& racks = index.racks().ordered();
  for (auto next = racks.rbegin(); next != racks.rend() && room < shape.members;
       ++next) {
    const auto& members = model.table.rack_workers(next->second);
    workers.insert(workers.end(), members.begin(), members.end());
    room += next->first;
  }
  groups.push_back(std::move(workers));
  return groups;
}

auto CheapestEviction(const CellModel& model,
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
