#include "LibState/cell_fold.h"

#include <utility>

namespace kcm::state {

namespace {

/// Ended jobs that a cell retains, with their idempotency keys.
constexpr std::size_t kMaxEndedJobs = 10000;

auto KeyOf(const std::string& account, const std::string& key) -> std::string {
  return account + "/" + key;
}

}  // namespace

auto CellFold::FindJob(const std::string& id) const -> const Job* {
  const auto found = jobs_.find(id);
  return found == jobs_.end() ? nullptr : &found->second;
}

auto CellFold::FindJobByKey(const std::string& account,
                            const std::string& key) const -> const Job* {
  const auto found = keys_.find(KeyOf(account, key));
  return found == keys_.end() ? nullptr : FindJob(found->second);
}

auto CellFold::ApplyToState(const Record& record) -> ApplyResult {
  switch (record.kind) {
    case RecordKind::kTermClaimed:
      return ApplyTermClaim(record);
    case RecordKind::kJobSubmitted:
      return ApplySubmission(record);
    case RecordKind::kJobPlaced:
      return ApplyPlacement(record);
    case RecordKind::kJobRequeued:
      return ApplyRequeue(record);
    case RecordKind::kJobEnded:
      return ApplyEnd(record);
    case RecordKind::kJobCancelled:
      return ApplyCancellation(record);
    default:
      return ApplyResult::Accept();
  }
}

auto CellFold::ApplyTermClaim(const Record& record) -> ApplyResult {
  auto claimed = record.body.get<Term>();
  if (claimed.number != term_.number + 1) {
    return ApplyResult::Reject(core::ErrorKind::kConflict, "number",
                               "The present term is " +
                                   std::to_string(term_.number) + ", held by " +
                                   term_.holder + ".");
  }
  term_ = std::move(claimed);
  return ApplyResult::Accept();
}

auto CellFold::ApplySubmission(const Record& record) -> ApplyResult {
  auto spec = record.body.at("spec").get<JobSpec>();
  const auto id = record.body.at("job").get<std::string>();
  if (!spec.idempotency_key.empty()) {
    const auto key = KeyOf(spec.account, spec.idempotency_key);
    if (keys_.contains(key)) {
      return ApplyResult::Reject(
          core::ErrorKind::kConflict, "idempotency_key",
          "The key is already used by " + keys_[key] + ".");
    }
    keys_[key] = id;
  }
  auto& job = jobs_[id];
  job.id = id;
  job.spec = std::move(spec);
  ChangeStatus(job, record, JobStatus::kAccepted);
  return ApplyResult::Accept();
}

auto CellFold::FindValidJob(const Record& record, ApplyResult& result) -> Job* {
  const auto term = record.body.at("term").get<std::int64_t>();
  if (term != term_.number) {
    result = ApplyResult::Reject(
        core::ErrorKind::kConflict, "term",
        "The record is of term " + std::to_string(term) +
            ", the present term is " + std::to_string(term_.number) + ".");
    return nullptr;
  }
  const auto found = jobs_.find(record.body.at("job").get<std::string>());
  if (found == jobs_.end() || IsEnded(found->second.status)) {
    result = ApplyResult::Reject(core::ErrorKind::kConflict, "job",
                                 "The job is unknown or has ended.");
    return nullptr;
  }
  const auto attempt = record.body.at("attempt").get<std::int64_t>();
  const auto expected = record.kind == RecordKind::kJobPlaced
                            ? found->second.attempt + 1
                            : found->second.attempt;
  if (attempt != expected) {
    result = ApplyResult::Reject(
        core::ErrorKind::kConflict, "attempt",
        "The job's next attempt is " + std::to_string(expected) + ".");
    return nullptr;
  }
  return &found->second;
}

auto CellFold::ApplyPlacement(const Record& record) -> ApplyResult {
  ApplyResult result;
  auto* job = FindValidJob(record, result);
  if (job == nullptr) {
    return result;
  }
  if (job->status != JobStatus::kAccepted || job->cancel_requested) {
    return ApplyResult::Reject(core::ErrorKind::kConflict, "status",
                               "The job is not waiting for a placement.");
  }
  job->attempt = record.body.at("attempt").get<std::int64_t>();
  record.body.at("members").get_to(job->members);
  ChangeStatus(*job, record, JobStatus::kPlaced);
  return result;
}

auto CellFold::ApplyRequeue(const Record& record) -> ApplyResult {
  ApplyResult result;
  auto* job = FindValidJob(record, result);
  if (job == nullptr) {
    return result;
  }
  const auto checkpoint = record.body.value("checkpoint", "");
  const bool started = record.body.value("started", true);
  const bool may_continue =
      !started || job->spec.recovery == Recovery::kRestartable ||
      (job->spec.recovery == Recovery::kCheckpointable && !checkpoint.empty());
  if (!may_continue) {
    return ApplyResult::Reject(
        core::ErrorKind::kConflict, "recovery",
        "A started attempt without a checkpoint must not "
        "be restarted.");
  }
  if (!checkpoint.empty()) {
    job->checkpoint = checkpoint;
  }
  job->members.clear();
  ChangeStatus(*job, record, JobStatus::kAccepted);
  return result;
}

auto CellFold::ApplyEnd(const Record& record) -> ApplyResult {
  ApplyResult result;
  auto* job = FindValidJob(record, result);
  if (job == nullptr) {
    return result;
  }
  const auto status = record.body.at("status").get<JobStatus>();
  if (!IsEnded(status)) {
    return ApplyResult::Reject(core::ErrorKind::kBadInput, "status",
                               "The status is not that of an ended job.");
  }
  ChangeStatus(*job, record, status);
  return result;
}

auto CellFold::ApplyCancellation(const Record& record) -> ApplyResult {
  const auto found = jobs_.find(record.body.at("job").get<std::string>());
  if (found == jobs_.end() || IsEnded(found->second.status)) {
    return ApplyResult::Reject(core::ErrorKind::kConflict, "job",
                               "The job is unknown or has ended.");
  }
  auto& job = found->second;
  job.cancel_requested = true;
  if (job.status == JobStatus::kAccepted) {
    ChangeStatus(job, record, JobStatus::kCancelled);
  }
  return ApplyResult::Accept();
}

auto CellFold::ChangeStatus(Job& job, const Record& record, JobStatus status)
    -> void {
  job.status = status;
  job.reason = record.body.value("reason", "");
  job.history.push_back({record.at, status, job.attempt, job.reason});
  IndexJob(job);
  DropOldestEnded();
}

auto CellFold::IndexJob(const Job& job) -> void {
  waiting_.erase(job.id);
  placed_.erase(job.id);
  if (job.status == JobStatus::kAccepted) {
    waiting_.insert(job.id);
  } else if (IsEnded(job.status)) {
    ended_.push_back(job.id);
  } else {
    placed_.insert(job.id);
  }
}

// FIXME: A submission repeated after its job was dropped counts as new;
// rejecting it requires a bound on how late callers repeat submissions.
auto CellFold::DropOldestEnded() -> void {
  while (ended_.size() > kMaxEndedJobs) {
    const auto found = jobs_.find(ended_.front());
    ended_.pop_front();
    const auto& spec = found->second.spec;
    keys_.erase(KeyOf(spec.account, spec.idempotency_key));
    jobs_.erase(found);
  }
}

auto CellFold::StateToJson() const -> core::Json {
  return {{"term", term_}, {"jobs", jobs_}, {"keys", keys_}, {"ended", ended_}};
}

auto CellFold::StateFromJson(const core::Json& document) -> void {
  document.at("term").get_to(term_);
  document.at("jobs").get_to(jobs_);
  document.at("keys").get_to(keys_);
  waiting_.clear();
  placed_.clear();
  for (const auto& [id, job] : jobs_) {
    IndexJob(job);
  }
  document.at("ended").get_to(ended_);
}

}  // namespace kcm::state
