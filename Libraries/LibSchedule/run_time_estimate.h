#pragma once

#include <string>
#include <unordered_map>

#include "LibCore/clock.h"

namespace kcm::schedule {

/// Corrects declared run times by the actual run times of the account's jobs.
class RunTimeEstimate {
 public:
  /// Updates the account's correction from a completed attempt.
  auto RecordRunTime(const std::string& account,
                     core::Millis declared,
                     core::Millis actual) -> void;

  /// @return the expected run time; a hint on which no guarantee depends.
  [[nodiscard]] auto ExpectedRunTime(const std::string& account,
                                     core::Millis declared) const
      -> core::Millis;

  /// @return actual over declared run time; 1 while no attempt of the account
  ///     has completed.
  [[nodiscard]] auto Correction(const std::string& account) const -> double;

 private:
  /// Moving mean of the logarithm of actual over declared, by account.
  std::unordered_map<std::string, double> log_ratio_;
};

}  // namespace kcm::schedule
