#pragma once

#include <optional>
#include <string>
#include <vector>

#include "LibCore/clock.h"
#include "LibCore/json.h"
#include "LibCore/reason.h"
#include "LibState/job_status.h"
#include "LibState/recovery.h"
#include "LibState/shape.h"

namespace kcm::state {

/// Specification of a job by a client account.
struct JobSpec {
  std::string account;
  std::string data_centre;
  Shape shape;
  /// Run time the caller expects; a hint on which no guarantee depends.
  core::Millis declared_run_ms = 0;
  /// Goes before other jobs that run beyond guarantees; when it does not fit,
  /// preemptible gangs that are not urgent are preempted for it.
  bool urgent = false;
  Recovery recovery = Recovery::kNone;
  /// Two submissions of one account with the same key are one job.
  std::string idempotency_key;
  /// Opaque parameters for the task, passed unchanged to the workers.
  core::Json task = core::Json::object();
};

KCM_JSON(JobSpec,
         account,
         data_centre,
         shape,
         declared_run_ms,
         urgent,
         recovery,
         idempotency_key,
         task)

/// Reads and validates a submitted job. The account stays empty: the caller
/// sets it from the client's token.
/// @return the job's specification, or nothing with `reason`.
[[nodiscard]] auto ReadJobSpec(const core::Json& document, core::Reason& reason)
    -> std::optional<JobSpec>;

/// One member of a placed gang.
struct Member {
  std::string worker;
  std::string rack;
  /// Id of the lease, the worker's grant of the member's resources for a time
  /// that renewals extend.
  std::string lease;
  /// Indexes of the accelerators on the worker.
  std::vector<std::int64_t> accelerators;
};

KCM_JSON(Member, worker, rack, lease, accelerators)

/// A change of a job's status, for its history.
struct JobChange {
  core::Millis at = 0;
  JobStatus status = JobStatus::kAccepted;
  std::int64_t attempt = 0;
  std::string reason;
};

KCM_JSON(JobChange, at, status, attempt, reason)

/// A job as the log records it.
struct Job {
  std::string id;
  JobSpec spec;
  JobStatus status = JobStatus::kAccepted;
  std::string reason;
  std::int64_t attempt = 0;
  bool cancel_requested = false;
  /// Last checkpoint that a stopped attempt left; empty when there is none.
  std::string checkpoint;
  std::vector<Member> members;
  std::vector<JobChange> history;
};

KCM_JSON(Job,
         id,
         spec,
         status,
         reason,
         attempt,
         cancel_requested,
         checkpoint,
         members,
         history)

}  // namespace kcm::state
