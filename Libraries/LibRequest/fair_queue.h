#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "LibCore/clock.h"
#include "LibRequest/queue_order.h"

namespace kcm::request {

/// A request that waits for a slot.
struct Waiting {
  std::uint64_t id = 0;
  std::string account;
  double weight = 1;
  core::Millis deadline = 0;
};

/// Weighted fair queueing between accounts, in a set order within each.
///
/// Each account has a virtual time that grows by 1 / weight with every
/// request served; the account with the least one is served next. An account
/// that was idle joins at the present virtual time and saves nothing up.
class FairQueue {
 public:
  explicit FairQueue(QueueOrder order) : order_(order) {}

  auto Push(const Waiting& waiting) -> void;

  /// Takes the next request whose account may run one.
  /// @param may_run tells whether a request can start now.
  [[nodiscard]] auto Pop(const std::function<bool(const Waiting&)>& may_run)
      -> std::optional<Waiting>;

  /// Takes out what cannot make its deadline any more.
  /// @param earliest_end time at which a request that starts now would end.
  [[nodiscard]] auto TakeLate(core::Millis earliest_end)
      -> std::vector<Waiting>;

  /// @return requests of one account that wait.
  [[nodiscard]] auto SizeOf(const std::string& account) const -> std::size_t;
  [[nodiscard]] auto size() const -> std::size_t { return size_; }

  /// @return the account's part of the weights of all that wait, from 0 to 1,
  ///     as if one more of its requests waited.
  [[nodiscard]] auto ShareOf(const std::string& account, double weight) const
      -> double;

 private:
  struct Line {
    double virtual_time = 0;
    double weight = 1;
    std::multimap<std::int64_t, Waiting> requests;
  };

  [[nodiscard]] auto RankOf(const Waiting& waiting) const -> std::int64_t;

  QueueOrder order_;
  std::map<std::string, Line> lines_;
  double virtual_time_ = 0;
  std::int64_t arrivals_ = 0;
  std::size_t size_ = 0;
};

}  // namespace kcm::request
