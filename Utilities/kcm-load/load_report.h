#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "LibCore/json.h"

namespace kcm::load {

/// Results of a load run.
class LoadReport {
 public:
  /// Records the end of one request.
  /// @param conclusion the response's conclusion, or "no_answer".
  /// @param latency_us time since the intended send time.
  /// @param in_time whether the response met the request's deadline.
  auto AddRequest(const std::string& conclusion,
                  std::int64_t latency_us,
                  bool in_time) -> void;

  /// @param seconds duration of the run, to calculate goodput per second.
  /// @return counts by conclusion, goodput and percentiles of the requests
  ///     done, in milliseconds.
  [[nodiscard]] auto ToJson(double seconds) const -> core::Json;

 private:
  std::map<std::string, std::int64_t> counts_;
  std::int64_t done_in_time_ = 0;
  std::vector<std::int64_t> done_latencies_us_;
};

}  // namespace kcm::load
