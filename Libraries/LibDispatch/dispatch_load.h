#pragma once

#include <cstdint>

namespace kcm::dispatch {

/// Counts the work that scheduling takes, since the dispatcher reads no clock.
/// All numbers only grow.
struct DispatchLoad {
  /// Planning passes.
  std::int64_t plans = 0;
  /// Sessions looked at to advance timers or to collect calls.
  std::int64_t sessions = 0;
  /// Workers looked at to build views and to search for capacity.
  std::int64_t workers = 0;
  /// Runs looked at to watch, to await or to evict them.
  std::int64_t runs = 0;
  /// Jobs looked at to find waiting steps and guaranteed jobs.
  std::int64_t jobs = 0;
  /// Waiting steps ranked.
  std::int64_t steps = 0;

  /// Accounts looked at to compute their shares.
  std::int64_t accounts = 0;

  /// @return the items looked at; each takes about the same time.
  [[nodiscard]] constexpr auto work() const -> std::int64_t {
    return sessions + workers + runs + jobs + steps + accounts;
  }
};

}  // namespace kcm::dispatch
