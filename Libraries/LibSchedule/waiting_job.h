#pragma once

#include <compare>
#include <string>

#include "LibCore/clock.h"
#include "LibState/recovery.h"
#include "LibState/shape.h"

namespace kcm::schedule {

/// Properties that decide about placement; waiting jobs of one account and
/// class are interchangeable.
struct JobClass {
  state::Shape shape;
  bool urgent = false;
  /// A running gang of the class may be stopped and requeued.
  bool preemptible = false;

  auto operator==(const JobClass&) const -> bool = default;
};

/// Orders classes for use as a key.
[[nodiscard]] auto operator<(const JobClass& left, const JobClass& right)
    -> bool;

/// A job that waits for a placement.
struct WaitingJob {
  std::string id;
  std::string account;
  JobClass job_class;
  state::Recovery recovery = state::Recovery::kNone;
  core::Millis declared_ms = 0;
  std::int64_t attempt = 0;
  /// When the job began to wait, moved forward by the time that it ran since.
  core::Millis waiting_since = 0;
  /// When the job got its first reservation; zero for none.
  core::Millis reserved_since = 0;
  /// Order in the account's queue, lowest first; the planner computes it from
  /// waiting_since, the expected run time and the size.
  core::Millis rank = 0;
};

}  // namespace kcm::schedule
