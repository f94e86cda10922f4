#include "LibRequest/fair_queue.h"

#include <algorithm>

namespace kcm::request {

auto FairQueue::RankOf(const QueuedRequest& request) const -> std::int64_t {
  switch (order_) {
    case QueueOrder::kFirstIn:
      return arrivals_;
    case QueueOrder::kEarliestDeadline:
      return request.deadline;
    case QueueOrder::kLastIn:
      return -arrivals_;
  }
  return arrivals_;
}

auto FairQueue::Push(const QueuedRequest& request) -> void {
  ++arrivals_;
  auto& queue = queues_[request.account];
  queue.weight = request.weight;
  if (queue.requests.empty()) {
    queue.virtual_time = std::max(queue.virtual_time, virtual_time_);
  }
  queue.requests.emplace(RankOf(request), request);
  ++size_;
}

auto FairQueue::Pop(const std::function<bool(const QueuedRequest&)>& can_start)
    -> std::optional<QueuedRequest> {
  std::vector<AccountQueue*> backlogged;
  for (auto& [account, queue] : queues_) {
    if (!queue.requests.empty()) {
      backlogged.push_back(&queue);
    }
  }
  std::stable_sort(backlogged.begin(), backlogged.end(),
                   [](const AccountQueue* left, const AccountQueue* right) {
                     return left->virtual_time < right->virtual_time;
                   });
  for (auto* queue : backlogged) {
    const auto first = queue->requests.begin();
    if (!can_start(first->second)) {
      continue;
    }
    auto request = first->second;
    queue->requests.erase(first);
    --size_;
    virtual_time_ = std::max(virtual_time_, queue->virtual_time);
    queue->virtual_time += 1 / queue->weight;
    return request;
  }
  return std::nullopt;
}

auto FairQueue::RemoveExpired(core::Millis earliest_end)
    -> std::vector<QueuedRequest> {
  std::vector<QueuedRequest> expired;
  for (auto& [account, queue] : queues_) {
    for (auto entry = queue.requests.begin(); entry != queue.requests.end();) {
      if (entry->second.deadline >= earliest_end) {
        ++entry;
        continue;
      }
      expired.push_back(entry->second);
      entry = queue.requests.erase(entry);
      --size_;
    }
  }
  return expired;
}

auto FairQueue::LengthOf(const std::string& account) const -> std::size_t {
  const auto found = queues_.find(account);
  return found == queues_.end() ? 0 : found->second.requests.size();
}

auto FairQueue::WeightShareOf(const std::string& account, double weight) const
    -> double {
  double sum = weight;
  for (const auto& [name, queue] : queues_) {
    if (name != account && !queue.requests.empty()) {
      sum += queue.weight;
    }
  }
  return weight / sum;
}

}  // namespace kcm::request
