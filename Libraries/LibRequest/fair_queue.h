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

/// A request that is queued until a slot is free.
struct QueuedRequest {
  std::uint64_t id = 0;
  std::string account;
  double weight = 1;
  core::Millis deadline = 0;
};

/// Weighted fair queueing between accounts, in a configured order within each.
///
/// Each account has a virtual time that grows by 1 / weight with every request
/// served; the account with the lowest one is served next. An account that was
/// idle rejoins at the current virtual time, so that it accumulates no credit.
class FairQueue {
 public:
  explicit FairQueue(QueueOrder order) : order_(order) {}

  auto Push(const QueuedRequest& request) -> void;

  /// Removes the next request in fair order that can start now.
  /// @param can_start whether a request can start now; called in fair order.
  [[nodiscard]] auto Pop(
      const std::function<bool(const QueuedRequest&)>& can_start)
      -> std::optional<QueuedRequest>;

  /// Removes the requests that can no longer meet their deadline.
  /// @param earliest_end time at which a request that starts now would end.
  [[nodiscard]] auto RemoveExpired(core::Millis earliest_end)
      -> std::vector<QueuedRequest>;

  /// @return number of queued requests of one account.
  [[nodiscard]] auto LengthOf(const std::string& account) const -> std::size_t;
  [[nodiscard]] auto size() const -> std::size_t { return size_; }

  /// @return the account's fraction, from 0 to 1, of the weights of all
  ///     accounts with queued requests, itself included.
  [[nodiscard]] auto WeightShareOf(const std::string& account,
                                   double weight) const -> double;

 private:
  struct AccountQueue {
    double virtual_time = 0;
    double weight = 1;
    std::multimap<std::int64_t, QueuedRequest> requests;
  };

  [[nodiscard]] auto RankOf(const QueuedRequest& request) const -> std::int64_t;

  QueueOrder order_;
  std::map<std::string, AccountQueue> queues_;
  double virtual_time_ = 0;
  std::int64_t arrivals_ = 0;
  std::size_t size_ = 0;
};

}  // namespace kcm::request
