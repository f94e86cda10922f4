#include "LibRequest/fair_queue.h"

#include <algorithm>

namespace kcm::request {

auto FairQueue::RankOf(const Waiting& waiting) const -> std::int64_t {
  switch (order_) {
    case QueueOrder::kFirstIn:
      return arrivals_;
    case QueueOrder::kEarliestDeadline:
      return waiting.deadline;
    case QueueOrder::kLastIn:
      return -arrivals_;
  }
  return arrivals_;
}

auto FairQueue::Push(const Waiting& waiting) -> void {
  ++arrivals_;
  auto& line = lines_[waiting.account];
  line.weight = waiting.weight;
  if (line.requests.empty()) {
    line.virtual_time = std::max(line.virtual_time, virtual_time_);
  }
  line.requests.emplace(RankOf(waiting), waiting);
  ++size_;
}

auto FairQueue::Pop(const std::function<bool(const Waiting&)>& may_run)
    -> std::optional<Waiting> {
  std::vector<Line*> backlogged;
  for (auto& [account, line] : lines_) {
    if (!line.requests.empty()) {
      backlogged.push_back(&line);
    }
  }
  std::stable_sort(backlogged.begin(), backlogged.end(),
                   [](const Line* left, const Line* right) {
                     return left->virtual_time < right->virtual_time;
                   });
  for (auto* line : backlogged) {
    const auto first = line->requests.begin();
    if (!may_run(first->second)) {
      continue;
    }
    auto waiting = first->second;
    line->requests.erase(first);
    --size_;
    virtual_time_ = std::max(virtual_time_, line->virtual_time);
    line->virtual_time += 1 / line->weight;
    return waiting;
  }
  return std::nullopt;
}

auto FairQueue::TakeLate(core::Millis earliest_end) -> std::vector<Waiting> {
  std::vector<Waiting> late;
  for (auto& [account, line] : lines_) {
    for (auto entry = line.requests.begin(); entry != line.requests.end();) {
      if (entry->second.deadline >= earliest_end) {
        ++entry;
        continue;
      }
      late.push_back(entry->second);
      entry = line.requests.erase(entry);
      --size_;
    }
  }
  return late;
}

auto FairQueue::SizeOf(const std::string& account) const -> std::size_t {
  const auto found = lines_.find(account);
  return found == lines_.end() ? 0 : found->second.requests.size();
}

auto FairQueue::ShareOf(const std::string& account, double weight) const
    -> double {
  double sum = weight;
  for (const auto& [name, line] : lines_) {
    if (name != account && !line.requests.empty()) {
      sum += line.weight;
    }
  }
  return weight / sum;
}

}  // namespace kcm::request
