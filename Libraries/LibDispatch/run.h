#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>

#include "LibCore/clock.h"
#include "LibDispatch/resources.h"
#include "LibDispatch/stop_cause.h"
#include "LibDispatch/task_id.h"

namespace kcm::dispatch {

/// Lifecycle of a run as recorded by the term holder.
enum class RunPhase : std::uint8_t {
  /// Placed by a former holder; the worker has not been polled yet.
  kAdopted,
  /// Its rows are being stored, or its start is in flight.
  kStarting,
  kRunning,
  /// A stop was requested; it may still run.
  kStopping,
};

inline constexpr double kWholePercent = 100;

/// Progress of a run at one time of its worker's clock.
struct RunProgress {
  double percent = 0;
  core::Millis clock_ms = 0;
};

/// One run of a task on one worker.
struct Run {
  TaskId task;
  std::int64_t attempt = 0;
  Resources demand;
  RunPhase phase = RunPhase::kStarting;
  /// The run may start once this batch of rows is stored.
  std::uint64_t batch = 0;
  std::string payload;
  std::string checkpoint;
  core::Millis placed_at = 0;
  /// A start was sent at least once.
  bool start_sent = false;
  /// A start was not answered and may still take effect.
  bool start_unanswered = false;
  /// A poll has listed it in the worker's current incarnation.
  bool listed = false;
  /// A former holder started it, so that its start is not known.
  bool adopted = false;
  /// It may have begun in a former life of its worker, which crashed.
  bool is_of_former_life = false;
  /// It runs no more, and no answer had room for its end yet.
  bool is_over = false;
  bool call_in_flight = false;
  core::Millis next_call_at = 0;
  /// When the run began or, if it was adopted, was first listed.
  std::optional<core::Millis> started_at;
  /// When the worker confirmed the run's existence and its stop. Only a poll
  /// sent after that can prove that the run is gone, since answers may arrive
  /// out of order.
  std::optional<core::Millis> confirmed_at;
  std::optional<core::Millis> stop_confirmed_at;
  /// Why its first stop was requested; nothing if none was.
  std::optional<StopCause> stop_cause;
  /// Share of the work that is done, and when it was reported.
  double percent = 0;
  core::Millis reported_at = 0;
  /// When the worker sent the newest report, and the first one with the present
  /// percentage, both on the worker's clock, since the holder may handle
  /// reports late.
  core::Millis report_clock = 0;
  std::optional<core::Millis> progress_clock;
  /// From where its speed is measured: its start, or the first report of a run
  /// that did not begin at zero percent then.
  std::optional<RunProgress> first_progress;
  /// Progress in percent a millisecond, over the newest second or so, and from
  /// where it is measured next; nothing before there are two reports.
  std::optional<double> recent_speed;
  std::optional<RunProgress> speed_base;

  /// Records that the worker started the run.
  /// @param clock_ms when it answered, on its own clock.
  auto RecordStart(core::Millis clock_ms) -> void {
    report_clock = std::max(report_clock, clock_ms);
    progress_clock = progress_clock.value_or(clock_ms);
    if (checkpoint.empty() && !first_progress) {
      first_progress = RunProgress{0, clock_ms};
      speed_base = first_progress;
    }
  }

  /// Records a report of the run; one that was overtaken has no effect.
  /// @param clock_ms when it was sent, on the worker's clock.
  auto RecordReport(double reported_percent, core::Millis clock_ms) -> void {
    report_clock = std::max(report_clock, clock_ms);
    UpdateSpeed({reported_percent, clock_ms});
    first_progress =
        first_progress.value_or(RunProgress{reported_percent, clock_ms});
    if (!progress_clock || reported_percent > percent) {
      percent = std::max(percent, reported_percent);
      progress_clock = clock_ms;
    }
  }

  /// Measures the newest speed; reports that are close together are skipped.
  auto UpdateSpeed(RunProgress report) -> void {
    // Percentages are whole numbers.
    constexpr core::Millis kLeastSpanMs = 700;
    if (!speed_base) {
      speed_base = report;
      return;
    }
    const auto span = report.clock_ms - speed_base->clock_ms;
    if (span >= kLeastSpanMs) {
      recent_speed = std::max(report.percent - speed_base->percent, 0.0) /
                     static_cast<double>(span);
      speed_base = report;
    }
  }

  /// @return for how long the reports have shown no progress.
  [[nodiscard]] auto StalledMs() const -> core::Millis {
    return progress_clock ? report_clock - *progress_clock : 0;
  }

  /// @return the time that the run still needs after the newest report, at the
  ///     speed seen so far; nothing while it has shown no progress.
  [[nodiscard]] auto RemainingMs() const -> std::optional<core::Millis> {
    if (!first_progress || percent <= first_progress->percent ||
        report_clock <= first_progress->clock_ms) {
      return std::nullopt;
    }
    const auto observed =
        static_cast<double>(report_clock - first_progress->clock_ms);
    return static_cast<core::Millis>(observed * (kWholePercent - percent) /
                                     (percent - first_progress->percent));
  }
};

}  // namespace kcm::dispatch
