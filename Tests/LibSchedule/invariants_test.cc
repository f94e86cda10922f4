#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include "cell_driver.h"

namespace kcm::schedule {
namespace {

constexpr int kRacks = 3;
constexpr int kWorkers = 3;

auto AnyShape() -> rc::Gen<state::Shape> {
  return rc::gen::map(
      rc::gen::tuple(rc::gen::element<std::int64_t>(1, 1, 2, 3, 4, 6),
                     rc::gen::element<std::int64_t>(0, 1, 2, 4, 8),
                     rc::gen::arbitrary<std::uint8_t>()),
      [](const auto& parts) {
        return ShapeOf(std::get<0>(parts), std::get<1>(parts),
                       static_cast<state::Adjacency>(std::get<2>(parts) % 4));
      });
}

auto Names(const CellDriver& cell, bool running) -> std::vector<std::string> {
  std::vector<std::string> names;
  if (running) {
    names.assign(cell.running.begin(), cell.running.end());
    return names;
  }
  for (const auto& [id, gang] : cell.assembling) {
    names.push_back(id);
  }
  return names;
}

auto AnyRows() -> std::vector<state::AccountRow> {
  // Any combination of these guarantees fits the fleet.
  std::vector<state::AccountRow> rows;
  for (const auto* account : {"council", "parks", "depot"}) {
    std::vector<state::Shape> guarantees;
    if (*rc::gen::arbitrary<bool>()) {
      guarantees.push_back(
          ShapeOf(*rc::gen::inRange(1, 4), *rc::gen::element(2, 4, 8)));
    }
    rows.push_back(RowOf(account, guarantees, *rc::gen::inRange(0, 4) > 0));
    rows.back().accelerators = *rc::gen::element(16, 64, 1000);
  }
  return rows;
}

/// Applies a random event.
/// @return whether the event alone may displace a guarantee unit.
auto Step(CellDriver& cell, int& serial) -> bool {
  switch (*rc::gen::inRange(0, 12)) {
    case 0:
    case 1:
    case 2:
    case 3: {
      const auto id = "job-" + std::to_string(serial++);
      cell.Submit(id,
                  *rc::gen::element<std::string>("council", "parks", "depot"),
                  *AnyShape(),
                  *rc::gen::element(state::Recovery::kNone,
                                    state::Recovery::kRestartable,
                                    state::Recovery::kCheckpointable),
                  *rc::gen::inRange(1, 100000), *rc::gen::inRange(0, 6) == 0);
      return false;
    }
    case 4:
    case 5: {
      const auto names = Names(cell, false);
      if (!names.empty()) {
        const auto id = *rc::gen::elementOf(names);
        *rc::gen::inRange(0, 4) > 0 ? cell.Confirm(id) : cell.Requeue(id);
      }
      return false;
    }
    case 6:
    case 7: {
      if (const auto names = Names(cell, true); !names.empty()) {
        cell.End(*rc::gen::elementOf(names));
      }
      return false;
    }
    case 8: {
      if (!cell.preempting.empty()) {
        cell.Requeue(std::string(*cell.preempting.begin()));
      }
      return false;
    }
    case 9: {
      if (!cell.jobs.empty()) {
        auto chosen = cell.jobs.begin();
        std::advance(chosen,
                     *rc::gen::inRange<std::size_t>(0, cell.jobs.size()));
        cell.End(std::string(chosen->first), state::JobStatus::kCancelled);
      }
      return false;
    }
    case 10: {
      const auto worker = "w" + std::to_string(*rc::gen::inRange(0, kRacks)) +
                          "-" + std::to_string(*rc::gen::inRange(0, kWorkers));
      cell.planner.SetWorkerUsable(worker, *rc::gen::inRange(0, 3) > 0);
      return true;
    }
    default:
      if (*rc::gen::inRange(0, 3) == 0) {
        cell.SetRows(AnyRows());
        return true;
      }
      cell.now += *rc::gen::element(10, 3000, 70000);
      return false;
  }
}

auto UnplacedUnits(const CellDriver& cell) -> std::size_t {
  std::size_t count = 0;
  for (const auto& unit : cell.planner.state().ledger.units()) {
    count += unit.placed ? 0 : 1;
  }
  return count;
}

RC_GTEST_PROP(Planner, KeepsEveryGuaranteeReclaimableOverAnyHistory, ()) {
  CellDriver cell;
  cell.planner.SetFleet(FleetOf(kRacks, kWorkers));
  cell.SetRows(AnyRows());
  cell.Plan(false);
  int serial = 0;
  const auto steps = *rc::gen::inRange(10, 120);
  for (int i = 0; i < steps; ++i) {
    const auto before = UnplacedUnits(cell);
    const bool may_displace = Step(cell, serial);
    RC_ASSERT(cell.FindViolation() == "");
    cell.Plan(false);
    RC_ASSERT(cell.FindViolation() == "");
    RC_ASSERT(may_displace || UnplacedUnits(cell) <= before);
  }
}

RC_GTEST_PROP(Planner, StartsOrReclaimsForEveryCoveredJob, ()) {
  CellDriver cell;
  cell.planner.SetFleet(FleetOf(kRacks, kWorkers));
  const auto shape = *AnyShape();
  cell.SetRows({RowOf("council", {shape}), RowOf("parks", {})});
  cell.Plan();
  RC_PRE(UnplacedUnits(cell) == 0U);
  const auto borrowers = *rc::gen::inRange(1, 80);
  for (int i = 0; i < borrowers; ++i) {
    cell.Submit(
        "borrower-" + std::to_string(i), "parks", *AnyShape(),
        *rc::gen::element(state::Recovery::kNone, state::Recovery::kRestartable,
                          state::Recovery::kCheckpointable));
  }
  cell.Plan();
  cell.Submit("guaranteed", "council", shape, state::Recovery::kNone);
  cell.now += 100;
  cell.Plan();
  const auto victims = cell.preempting;
  for (const auto& victim : victims) {
    cell.Requeue(victim);
    // Capacity that is freed early must not go to another job.
    cell.Plan();
  }
  RC_ASSERT(cell.running.contains("guaranteed"));
  RC_ASSERT(cell.FindViolation() == "");
}

}  // namespace
}  // namespace kcm::schedule
