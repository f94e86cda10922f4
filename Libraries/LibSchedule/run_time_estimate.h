#pragma once

#include <string>
#include <unordered_map>

#include "LibCore/clock.h"

namespace kcm::schedule {

/// Corrects declared run times by what the account's jobs really took.
class RunTimeEstimate {
 public:
  /// Learns from an attempt that ran to its end.
  auto Learn(const std::string& account,
             core::Millis declared,
             core::Millis actual) -> void;

  /// @return the run time to expect; a hint that no promise relies on.
  [[nodiscard]] auto Expect(const std::string& account,
                            core::Millis declared) const -> core::Millis;

  /// @return actual over declared run time, one before anything was learned.
  [[nodiscard]] auto Correction(const std::string& account) const -> double;

 private:
  /// Moving mean of the logarithm of actual over declared, by account.
  std::unordered_map<std::string, double> log_ratio_;
};

}  // namespace kcm::schedule
