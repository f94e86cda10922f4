#pragma once

#include <map>
#include <string>

#include "LibSchedule/capacity.h"
#include "LibSchedule/gang.h"

namespace kcm::schedule {

/// Usage of each account, for limits and for weighted dominant shares.
///
/// A gang is charged when it is placed, not when usage is reported, so that
/// decisions do not depend on the delay of reports.
class FairShare {
 public:
  /// Charges a gang, or removes the charge with a `sign` of minus one.
  auto Add(const Gang& gang, std::int64_t sign) -> void;

  /// @return the largest share of any resource that the account uses beyond
  ///     its guarantee, divided by its weight.
  [[nodiscard]] auto DominantShare(const std::string& account,
                                   double weight,
                                   const Capacity& total) const -> double;

  /// @return accelerators the account uses, its guarantee included.
  [[nodiscard]] auto accelerators(const std::string& account) const
      -> std::int64_t;
  /// @return accelerators of the account's urgent gangs.
  [[nodiscard]] auto urgent_accelerators(const std::string& account) const
      -> std::int64_t;

  auto Clear() -> void { usage_.clear(); }

 private:
  struct Usage {
    Capacity beyond_guarantee;
    std::int64_t accelerators = 0;
    std::int64_t urgent = 0;
  };

  std::map<std::string, Usage> usage_;
};

}  // namespace kcm::schedule
