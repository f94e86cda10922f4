#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>

#include "LibCore/clock.h"
#include "LibSchedule/run_time_estimate.h"
#include "LibSchedule/run_time_histogram.h"

namespace kcm::schedule {

/// What the run times of a queue are taken for, as multiples of the declared
/// ones.
struct RunTimeSummary {
  /// Runs that were counted.
  std::int64_t samples = 0;
  double median = 1;
  /// Three quarters of the runs are at most this long.
  double upper = 1;
  double mean = 1;
};

/// Corrects declared run times by the distribution of the queue's actual ones.
///
/// All results are those of RunTimeEstimate until a queue has kLeastSamples,
/// and for queues beyond the first kMaxQueues. Holds about 700 bytes for a
/// queue: its histogram, its mean and its name in two tables.
class RunTimeDistribution {
 public:
  /// Records a completed run; one without a declared time has no effect.
  auto RecordRunTime(const std::string& queue,
                     core::Millis declared,
                     core::Millis actual) -> void;

  /// @return the run time of the usual run: half of the runs are longer.
  [[nodiscard]] auto MedianMs(const std::string& queue,
                              core::Millis declared) const -> core::Millis;

  /// @return the run time that three quarters of the runs do not exceed.
  [[nodiscard]] auto UpperMs(const std::string& queue,
                             core::Millis declared) const -> core::Millis;

  /// @return the arithmetic mean, by which a sum of many runs is expected.
  [[nodiscard]] auto MeanMs(const std::string& queue,
                            core::Millis declared) const -> core::Millis;

  /// @param elapsed how long the run has lasted.
  /// @return how much longer it is expected to last: half of the runs that last
  ///     this long do not last longer.
  [[nodiscard]] auto RemainingMs(const std::string& queue,
                                 core::Millis declared,
                                 core::Millis elapsed) const -> core::Millis;

  [[nodiscard]] auto SummaryOf(const std::string& queue) const
      -> RunTimeSummary;

  /// The median of as many samples is as exact as RunTimeEstimate's moving
  /// mean: both have a standard error of 0.23 of the spread of the logarithms.
  static constexpr std::int64_t kLeastSamples = 30;
  /// As many values as a label of a metric may have.
  static constexpr std::size_t kMaxQueues = 256;

 private:
  /// A queue's samples, and what follows from them, which is asked for far more
  /// often than it changes.
  struct QueueEntry {
    RunTimeHistogram histogram;
    RunTimeSummary summary;
  };

  /// @return the queue's entry if it has enough samples, or null.
  [[nodiscard]] auto FindLearned(const std::string& queue) const
      -> const QueueEntry*;

  /// @return the declared time, or the default, times a member of the summary.
  [[nodiscard]] auto Corrected(const std::string& queue,
                               core::Millis declared,
                               double RunTimeSummary::*ratio) const
      -> core::Millis;

  RunTimeEstimate mean_;
  std::unordered_map<std::string, QueueEntry> queues_;
};

}  // namespace kcm::schedule
