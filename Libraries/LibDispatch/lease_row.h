#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "LibCore/address.h"
#include "LibCore/clock.h"
#include "LibCore/reason.h"
#include "LibDispatch/clock_witness.h"
#include "LibDispatch/state_row.h"

namespace kcm::dispatch {

/// Durable upper bound on the leases of one incarnation of a worker.
///
/// The bound is a duration, as the clocks of two holders have nothing in
/// common: a holder counts it from the moment that the witnesses tell, or from
/// its own read of the row if none of them answers.
struct LeaseRow {
  std::string worker;
  std::int64_t incarnation = 0;
  /// All leases that any holder has granted end at most this long after the row
  /// was written. None is granted while the row exists.
  core::Millis remaining_ms = 0;
  /// Number of the unbroken sequence of holders that honour lease rows; a row
  /// of another sequence bounds nothing.
  std::int64_t series = 0;
  /// Witnesses of the moment at which the row was written.
  ClockWitnesses witnesses = {};
  /// Where the worker was last listed, as it may be listed no more when the row
  /// is read; without a host if unknown.
  core::Address address = {};
};

[[nodiscard]] auto EncodeLeaseRow(const LeaseRow& row) -> StateRow;

/// @return the row that deletes a worker's lease row.
[[nodiscard]] auto DeletedLeaseRow(const std::string& worker) -> StateRow;

[[nodiscard]] auto IsLeaseRow(const StateRow& row) -> bool;

/// @param reason set if the row cannot be read.
[[nodiscard]] auto DecodeLeaseRow(const StateRow& row, core::Reason& reason)
    -> std::optional<LeaseRow>;

}  // namespace kcm::dispatch
