#pragma once

#include <sys/types.h>

#include <functional>
#include <string>

#include "LibNet/http_client.h"
#include "bench_settings.h"

namespace kcm::bench_calls {

/// A child process that stands in for the services called, or for the callers,
/// so that only the measured side's costs are charged to this process.
class StandIns {
 public:
  /// Starts a child that answers every request on the workers' ports with
  /// `body`, after a random delay of up to 20 ms.
  static auto Answering(const BenchSettings& settings, std::string body)
      -> StandIns;

  /// Starts a child that sends a request at the settings' rate to the first
  /// port.
  static auto Calling(const BenchSettings& settings,
                      const net::HttpRequest& request) -> StandIns;

  /// Ends the child.
  ~StandIns();
  StandIns(const StandIns&) = delete;
  auto operator=(const StandIns&) -> StandIns& = delete;

 private:
  explicit StandIns(const std::function<void()>& run);

  pid_t child_;
};

}  // namespace kcm::bench_calls
