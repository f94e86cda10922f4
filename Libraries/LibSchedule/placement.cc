#include "LibSchedule/placement.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace kcm::schedule {

namespace {

using Group = std::vector<const WorkerModel*>;

auto MembersThatFit(const WorkerModel& worker, const state::Shape& shape)
    -> std::int64_t {
  if (!worker.usable) {
    return 0;
  }
  auto members = std::min(worker.free_cores / shape.cores,
                          worker.free_memory_mb / shape.memory_mb);
  if (shape.accelerators > 0) {
    const auto free =
        static_cast<std::int64_t>(worker.free_accelerators.size());
    members = std::min(members, free / shape.accelerators);
  }
  return std::max<std::int64_t>(members, 0);
}

auto FreeMembersOf(const Group& group, const state::Shape& shape)
    -> std::int64_t {
  std::int64_t free_members = 0;
  for (const auto* worker : group) {
    free_members += MembersThatFit(*worker, shape);
  }
  return free_members;
}

/// Places the gang on the fullest workers where members still fit.
auto PlaceIn(Group group, const state::Shape& shape)
    -> std::vector<state::Member> {
  std::sort(group.begin(), group.end(),
            [](const auto* left, const auto* right) {
              return std::tuple(left->free_accelerators.size(), left->id) <
                     std::tuple(right->free_accelerators.size(), right->id);
            });
  std::vector<state::Member> members;
  for (const auto* worker : group) {
    auto next = worker->free_accelerators.begin();
    for (auto free_members = MembersThatFit(*worker, shape);
         free_members > 0 && std::cmp_less(members.size(), shape.members);
         --free_members) {
      state::Member member{worker->id, worker->rack, "", {}};
      member.accelerators.assign(next, next + shape.accelerators);
      next += shape.accelerators;
      members.push_back(std::move(member));
    }
  }
  return members;
}

auto GroupOf(const FleetModel& fleet, const std::vector<std::string>& ids)
    -> Group {
  Group group;
  group.reserve(ids.size());
  for (const auto& id : ids) {
    group.push_back(&fleet.workers().at(id));
  }
  return group;
}

/// Lists the sets of workers that a gang of this adjacency may span.
auto GroupsOf(const FleetModel& fleet, state::Adjacency adjacency)
    -> std::vector<Group> {
  std::vector<Group> groups;
  if (adjacency == state::Adjacency::kSameWorker) {
    for (const auto& [id, worker] : fleet.workers()) {
      groups.push_back({&worker});
    }
    return groups;
  }
  for (const auto& [rack, ids] : fleet.racks()) {
    groups.push_back(GroupOf(fleet, ids));
  }
  if (adjacency == state::Adjacency::kSameRack) {
    return groups;
  }
  const auto racks = groups.size();
  for (std::size_t i = 0; i + 1 < racks; ++i) {
    auto pair = groups[i];
    pair.insert(pair.end(), groups[i + 1].begin(), groups[i + 1].end());
    groups.push_back(std::move(pair));
  }
  if (adjacency == state::Adjacency::kAnywhere) {
    Group all;
    for (const auto& [id, worker] : fleet.workers()) {
      all.push_back(&worker);
    }
    groups.push_back(std::move(all));
  }
  return groups;
}

}  // namespace

auto FindPlacement(const FleetModel& fleet, const state::Shape& shape)
    -> std::optional<std::vector<state::Member>> {
  const Group* tightest = nullptr;
  std::int64_t least_free_members = 0;
  const auto groups = GroupsOf(fleet, shape.adjacency);
  for (const auto& group : groups) {
    const auto free_members = FreeMembersOf(group, shape);
    if (free_members >= shape.members &&
        (tightest == nullptr || free_members < least_free_members)) {
      tightest = &group;
      least_free_members = free_members;
    }
  }
  if (tightest == nullptr) {
    return std::nullopt;
  }
  return PlaceIn(*tightest, shape);
}

}  // namespace kcm::schedule
