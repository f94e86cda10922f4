#include "LibSchedule/run_time_distribution.h"

#include <algorithm>

namespace kcm::schedule {

namespace {

constexpr double kMedian = 0.5;
/// A run that outlasts what it was taken for delays a whole gang, and one that
/// was not started idles the part of one member. One overrun in four is the
/// break-even for a gang of four.
constexpr double kUpper = 0.75;
/// How much longer a run lasts, as a share of the time that it has lasted, if
/// hardly any other has lasted as long. Runs that vary by 0.5 in the logarithm
/// and are 1.5 to 2 standard deviations late go on for 0.2 to 0.15.
constexpr double kUnseenShare = 0.2;

auto Scale(core::Millis declared, double ratio) -> core::Millis {
  return static_cast<core::Millis>(static_cast<double>(declared) * ratio);
}

}  // namespace

auto RunTimeDistribution::RecordRunTime(const std::string& queue,
                                        core::Millis declared,
                                        core::Millis actual) -> void {
  if (declared <= 0 || actual <= 0) {
    return;
  }
  mean_.RecordRunTime(queue, declared, actual);
  if (queues_.size() >= kMaxQueues && !queues_.contains(queue)) {
    return;
  }
  auto& [histogram, summary] = queues_[queue];
  histogram.Add(static_cast<double>(actual) / static_cast<double>(declared));
  summary = {histogram.samples(), histogram.QuantileAbove(kMedian),
             histogram.QuantileAbove(kUpper), histogram.Mean()};
}

auto RunTimeDistribution::FindLearned(const std::string& queue) const
    -> const QueueEntry* {
  const auto found = queues_.find(queue);
  return found == queues_.end() || found->second.summary.samples < kLeastSamples
             ? nullptr
             : &found->second;
}

auto RunTimeDistribution::Corrected(const std::string& queue,
                                    core::Millis declared,
                                    double RunTimeSummary::*ratio) const
    -> core::Millis {
  const auto* entry = FindLearned(queue);
  return entry == nullptr || declared <= 0
             ? mean_.ExpectedRunTime(queue, declared)
             : Scale(declared, entry->summary.*ratio);
}

auto RunTimeDistribution::MedianMs(const std::string& queue,
                                   core::Millis declared) const
    -> core::Millis {
  return Corrected(queue, declared, &RunTimeSummary::median);
}

auto RunTimeDistribution::UpperMs(const std::string& queue,
                                  core::Millis declared) const -> core::Millis {
  return Corrected(queue, declared, &RunTimeSummary::upper);
}

auto RunTimeDistribution::MeanMs(const std::string& queue,
                                 core::Millis declared) const -> core::Millis {
  return Corrected(queue, declared, &RunTimeSummary::mean);
}

auto RunTimeDistribution::RemainingMs(const std::string& queue,
                                      core::Millis declared,
                                      core::Millis elapsed) const
    -> core::Millis {
  const auto usual =
      std::max<core::Millis>(MedianMs(queue, declared) - elapsed, 0);
  const auto* entry = FindLearned(queue);
  if (entry == nullptr || declared <= 0 || elapsed <= 0) {
    return usual;
  }
  const auto& histogram = entry->histogram;
  const auto ratio =
      static_cast<double>(elapsed) / static_cast<double>(declared);
  const auto weight = histogram.WeightAbove(ratio);
  const auto seen = static_cast<double>(
      Scale(declared, histogram.QuantileAbove(kMedian, ratio)) - elapsed);
  // One more sample stands for run times that have not been seen.
  const auto unseen = std::max(static_cast<double>(usual),
                               kUnseenShare * static_cast<double>(elapsed));
  return static_cast<core::Millis>((weight * seen + unseen) / (weight + 1));
}

auto RunTimeDistribution::SummaryOf(const std::string& queue) const
    -> RunTimeSummary {
  if (const auto* entry = FindLearned(queue)) {
    return entry->summary;
  }
  const auto found = queues_.find(queue);
  const auto correction = mean_.Correction(queue);
  return {found == queues_.end() ? 0 : found->second.summary.samples,
          correction, correction, correction};
}

}  // namespace kcm::schedule
