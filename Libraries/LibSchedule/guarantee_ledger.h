#pragma once

#include <list>
#include <map>
#include <string>
#include <vector>

#include "LibSchedule/cell_model.h"
#include "LibSchedule/guarantee_unit.h"
#include "LibState/account_row.h"

namespace kcm::schedule {

/// Reserves capacity for the guarantees of all accounts in one data centre:
/// keeps their units, places them, and counts which slots gangs use.
class GuaranteeLedger {
 public:
  explicit GuaranteeLedger(CellModel& model) : model_(&model) {}

  /// Makes the units from the rows. CellModel::uncommitted must equal
  /// usable_total; each gang gets its AllocationClass anew, non-preemptible
  /// ones first.
  auto Rebuild(const std::map<std::string, state::AccountRow>& rows,
               const std::string& data_centre,
               std::vector<Gang*> gangs) -> void;

  /// @return the unit that covers the shape (SlotsNeeded() is not zero and as
  ///     many slots are free) and leaves the fewest accelerators and slots
  ///     unused, placed units first; null when the account's guarantee does not
  ///     cover the shape now.
  [[nodiscard]] auto FindUnit(const std::string& account,
                              const state::Shape& shape) -> GuaranteeUnit*;

  /// Moves an idle unit to another placement.
  auto MoveUnit(GuaranteeUnit& unit, Placement placement) -> void;

  /// Charges a gang to the unit, or ends that: marks the slots that it uses as
  /// used, or as no longer used.
  static auto Charge(GuaranteeUnit& unit,
                     const Placement& placement,
                     const state::Shape& shape) -> void;
  static auto Uncharge(GuaranteeUnit& unit,
                       const Placement& placement,
                       const state::Shape& shape) -> void;

  /// Places units anew that lost a worker; called when a worker became usable
  /// or unusable.
  auto OnWorkerUsabilityChanged(WorkerIndex worker) -> void;
  /// Places idle units that are not on usable workers, where needed by moving
  /// other idle ones.
  auto PlaceUnplacedUnits() -> void;

  /// @return whether every unit is placed; until then no further
  ///     non-preemptible gang may start.
  [[nodiscard]] auto AllUnitsPlaced() const -> bool { return unplaced_ == 0; }

  [[nodiscard]] auto units() const -> const std::list<GuaranteeUnit>& {
    return units_;
  }

 private:
  auto PlaceUnit(GuaranteeUnit& unit) -> void;
  auto Release(GuaranteeUnit& unit) -> void;
  auto ChargeExisting(Gang& gang) -> bool;
  [[nodiscard]] auto KeepsAdjacency(const GuaranteeUnit& unit,
                                    const Gang& gang) const -> bool;
  /// @return whether the unused slots of a unit in use could be placed.
  auto PlaceRemainder(GuaranteeUnit& unit) -> bool;
  [[nodiscard]] auto IsOvercommitted(const Placement& placement) const -> bool;
  auto ClassifyUncharged(Gang& gang,
                         const std::map<std::string, state::AccountRow>& rows)
      -> void;
  auto UnchargeGangs(GuaranteeUnit& unit,
                     const std::vector<Gang*>& gangs,
                     const std::map<std::string, state::AccountRow>& rows)
      -> void;
  auto Repack() -> void;
  auto CountUnplaced() -> void;

  CellModel* model_;
  std::list<GuaranteeUnit> units_;
  std::map<std::string, std::vector<GuaranteeUnit*>> by_account_;
  std::size_t unplaced_ = 0;
};

}  // namespace kcm::schedule
