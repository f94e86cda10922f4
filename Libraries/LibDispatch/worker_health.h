#pragma once

#include <map>
#include <set>
#include <string>

#include "LibCore/clock.h"

namespace kcm::dispatch {

/// Keeps new work off workers on which it fails or stands still.
class WorkerHealth {
 public:
  /// A run ended as failed.
  /// @return whether this cordons the worker.
  auto Failed(const std::string& worker,
              const std::string& job,
              core::Millis now) -> bool;

  /// A run made no progress.
  auto Hung(const std::string& worker, core::Millis now) -> void;

  /// The worker refused a start because it feels unhealthy, or did not answer.
  auto Refused(const std::string& worker, core::Millis now) -> void;

  /// A run ended well.
  auto Succeeded(const std::string& worker) -> void;

  [[nodiscard]] auto IsCordoned(const std::string& worker,
                                core::Millis now) const -> bool;

 private:
  struct Record {
    /// Jobs that failed since one last ended well.
    std::set<std::string> failed_jobs;
    core::Millis cordoned_until = 0;
  };

  std::map<std::string, Record> records_;
};

}  // namespace kcm::dispatch
