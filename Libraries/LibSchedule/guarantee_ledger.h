#pragma once

#include <list>
#include <map>
#include <string>
#include <vector>

#include "LibSchedule/cell_model.h"
#include "LibSchedule/guarantee_unit.h"
#include "LibState/row.h"

namespace kcm::schedule {

/// Keeps room for the guarantees of all accounts in one data centre.
class GuaranteeLedger {
 public:
  explicit GuaranteeLedger(CellModel& model) : model_(&model) {}

  /// Starts over from the rows. The firm view must be whole; the gangs get
  /// their standing anew, those that cannot be preempted first.
  auto Rebuild(const std::map<std::string, state::Row>& rows,
               const std::string& data_centre,
               std::vector<Gang*> gangs) -> void;

  /// @return the unit with the least left over that covers the shape, or
  ///     nothing when the account's guarantee does not cover it now.
  [[nodiscard]] auto Find(const std::string& account, const state::Shape& shape)
      -> GuaranteeUnit*;

  /// Moves an idle unit to other seats.
  auto Move(GuaranteeUnit& unit, Seats seats) -> void;

  /// Marks slots as used by, or returned from, a gang inside the unit.
  static auto Charge(GuaranteeUnit& unit,
                     const Seats& seats,
                     const state::Shape& shape) -> void;
  static auto Uncharge(GuaranteeUnit& unit,
                       const Seats& seats,
                       const state::Shape& shape) -> void;

  /// Looks for new seats for units that lost a worker.
  auto OnWorkerChanged(WorkerIndex worker) -> void;
  auto Reseat() -> void;

  /// @return whether every unit has all its seats; no further firm gang may
  ///     start while one has not.
  [[nodiscard]] auto IsWhole() const -> bool { return broken_ == 0; }

  [[nodiscard]] auto units() const -> const std::list<GuaranteeUnit>& {
    return units_;
  }

 private:
  auto SeatUnit(GuaranteeUnit& unit) -> void;
  auto Release(GuaranteeUnit& unit) -> void;
  auto ChargeExisting(Gang& gang) -> bool;
  [[nodiscard]] auto StaysClose(const GuaranteeUnit& unit,
                                const Gang& gang) const -> bool;
  /// @return whether a unit in use found room for its unused slots.
  auto SeatRemainder(GuaranteeUnit& unit) -> bool;
  [[nodiscard]] auto IsOvercommitted(const Seats& seats) const -> bool;
  auto LeaveUncharged(Gang& gang, const std::map<std::string, state::Row>& rows)
      -> void;
  auto DropCharges(GuaranteeUnit& unit,
                   const std::vector<Gang*>& gangs,
                   const std::map<std::string, state::Row>& rows) -> void;
  auto Repack() -> void;
  auto CountBroken() -> void;

  CellModel* model_;
  std::list<GuaranteeUnit> units_;
  std::map<std::string, std::vector<GuaranteeUnit*>> by_account_;
  std::size_t broken_ = 0;
};

}  // namespace kcm::schedule
