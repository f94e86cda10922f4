#include "LibDispatch/job_table.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <iterator>
#include <string_view>
#include <utility>

#include "LibCore/json_decode.h"

namespace kcm::dispatch {

namespace {

using core::Json;

constexpr std::string_view kJobPrefix = "j/";
constexpr std::string_view kTaskPrefix = "t/";
/// What a record of the store has beside the key and the value of a row.
constexpr std::size_t kRecordBytes = 8;
/// Index of the crash evidence in the row of a task, which a task without any
/// lacks.
constexpr std::size_t kEvidenceElement = 7;
/// Index of the mark of a task that has begun, which other tasks lack.
constexpr std::size_t kBegunElement = 8;

auto ToText(const Json& document) -> std::string {
  const auto bytes = Json::to_msgpack(document);
  return {bytes.begin(), bytes.end()};
}

auto JobKey(const std::string& id) -> std::string {
  return std::string(kJobPrefix) + id;
}

auto TaskKey(const TaskId& id) -> std::string {
  return std::string(kTaskPrefix) + id.job + "." +
         std::to_string(id.occurrence) + "." + std::to_string(id.step) + "." +
         std::to_string(id.index);
}

auto ToNumber(std::string_view text) -> std::optional<std::int64_t> {
  std::int64_t number = 0;
  const auto* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, number);
  if (error != std::errc() || stop != end) {
    return std::nullopt;
  }
  return number;
}

auto ParseTaskKey(std::string_view key) -> std::optional<TaskId> {
  key.remove_prefix(kTaskPrefix.size());
  std::array<std::int64_t, 3> numbers{};
  for (auto number = numbers.rbegin(); number != numbers.rend(); ++number) {
    const auto dot = key.rfind('.');
    if (dot == std::string_view::npos) {
      return std::nullopt;
    }
    const auto value = ToNumber(key.substr(dot + 1));
    if (!value) {
      return std::nullopt;
    }
    *number = *value;
    key.remove_suffix(key.size() - dot);
  }
  return TaskId{std::string(key), numbers[0], numbers[1], numbers[2]};
}

auto RowOfJob(const Job& job) -> StateRow {
  Json document = {{"phase", job.phase}, {"ended_at", job.ended_at}};
  if (IsEnded(job.phase)) {
    document["queue"] = job.spec.queue;
    document["account"] = job.spec.account;
  } else {
    document["spec"] = job.spec;
  }
  return {JobKey(job.spec.id), ToText(document)};
}

auto RowOfTask(const TaskId& id, const Task& task) -> StateRow {
  auto document = Json::array({static_cast<int>(task.phase), task.attempt,
                               task.failures, task.failed_attempt, task.worker,
                               task.incarnation, task.checkpoint});
  const auto& evidence = task.crash_evidence;
  if (evidence.crashes > 0 || task.has_begun) {
    document.push_back(
        Json::array({evidence.crashes, evidence.as_candidate,
                     evidence.as_only_candidate, evidence.attempt}));
  }
  if (task.has_begun) {
    document.push_back(true);
  }
  return {TaskKey(id), ToText(document)};
}

auto DecodeEvidence(const Json& row) -> std::optional<CrashEvidence> {
  constexpr std::size_t kMembers = 4;
  if (!row.is_array() || row.size() < kMembers) {
    return std::nullopt;
  }
  const auto crashes = core::ToWholeNumber(row[0]);
  const auto as_candidate = core::ToWholeNumber(row[1]);
  const auto as_only_candidate = core::ToWholeNumber(row[2]);
  const auto attempt = core::ToWholeNumber(row[3]);
  if (!crashes || !as_candidate || !as_only_candidate || !attempt) {
    return std::nullopt;
  }
  return CrashEvidence{*crashes, *as_candidate, *as_only_candidate, *attempt};
}

/// Reads the members that RowOfTask() writes.
/// @return whether all are valid; if not, the task is unchanged.
auto DecodeTask(const Json& row, Task& task) -> bool {
  constexpr std::size_t kMembers = 7;
  constexpr auto kLastPhase = static_cast<std::int64_t>(TaskPhase::kDone);
  if (!row.is_array() || row.size() < kMembers || !row[4].is_string() ||
      !row[6].is_string()) {
    return false;
  }
  const auto phase = core::ToWholeNumber(row[0], kLastPhase);
  const auto attempt = core::ToWholeNumber(row[1]);
  const auto failures = core::ToWholeNumber(row[2]);
  const auto failed_attempt = core::ToWholeNumber(row[3]);
  const auto incarnation = core::ToWholeNumber(row[5]);
  const auto evidence = row.size() > kEvidenceElement
                            ? DecodeEvidence(row[kEvidenceElement])
                            : CrashEvidence{};
  const auto has_begun = row.size() > kBegunElement;
  if (!phase || !attempt || !failures || !failed_attempt || !incarnation ||
      !evidence || (has_begun && !row[kBegunElement].is_boolean())) {
    return false;
  }
  task.phase = static_cast<TaskPhase>(*phase);
  task.attempt = *attempt;
  task.failures = *failures;
  task.failed_attempt = *failed_attempt;
  task.worker = row[4];
  task.incarnation = *incarnation;
  task.checkpoint = row[6];
  task.crash_evidence = *evidence;
  task.has_begun = has_begun && row[kBegunElement].get<bool>();
  task.stored = true;
  return true;
}

auto Unreadable(core::Reason& reason, const std::string& why) -> bool {
  reason = {core::ErrorKind::kBadInput, "", why};
  return false;
}

}  // namespace

auto JobTable::Load(
    const std::vector<StateRow>& rows,
    const std::function<void(const std::string& key,
                             const core::Reason& reason)>& rejected) -> void {
  using Loader = auto(JobTable::*)(const StateRow&, core::Reason&)->bool;
  struct Pass {
    std::string_view prefix;
    Loader load;
  };
  // Rows of tasks can only be read after those of their jobs.
  constexpr std::array kPasses = {Pass{kJobPrefix, &JobTable::LoadJob},
                                  Pass{kTaskPrefix, &JobTable::LoadTask}};
  for (const auto& pass : kPasses) {
    for (const auto& row : rows) {
      core::Reason reason;
      if (row.key.starts_with(pass.prefix) && !row.value.empty() &&
          !(this->*pass.load)(row, reason)) {
        rejected(row.key, reason);
      }
    }
  }
}

auto JobTable::LoadJob(const StateRow& row, core::Reason& reason) -> bool {
  const auto document = core::ParseMessagePack(row.value);
  if (!document.is_object()) {
    return Unreadable(reason, "The row of a job is not an object.");
  }
  if (!core::HasOnlyNumbersInRange(document)) {
    return Unreadable(reason, "A number in the row of a job is out of range.");
  }
  const auto id = row.key.substr(kJobPrefix.size());
  try {
    JobSpec spec;
    if (document.contains("spec")) {
      spec = document.at("spec").get<JobSpec>();
      if (!CheckJobSpec(spec, reason)) {
        return false;
      }
    } else {
      spec.queue = document.value("queue", "");
      spec.account = document.value("account", "");
    }
    spec.id = id;
    auto job = MakeJob(std::move(spec));
    job.phase = document.at("phase").get<JobPhase>();
    job.ended_at = document.value("ended_at", core::Millis{0});
    auto& loaded = InsertJob(std::move(job));
    if (IsEnded(loaded.phase)) {
      live_jobs_.erase(id);
    } else {
      live_jobs_.insert_or_assign(id, &loaded);
    }
  } catch (const Json::exception& error) {
    return Unreadable(reason, error.what());
  }
  return true;
}

auto JobTable::LoadTask(const StateRow& row, core::Reason& reason) -> bool {
  const auto id = ParseTaskKey(row.key);
  auto* job = id ? FindJob(id->job) : nullptr;
  auto* task = job == nullptr ? nullptr : job->FindTask(*id);
  if (task == nullptr) {
    return Unreadable(
        reason, "The key of the row does not name a task of a stored job.");
  }
  if (!DecodeTask(core::ParseMessagePack(row.value), *task)) {
    return Unreadable(reason, "The row of a task has no valid members.");
  }
  job->NoteEvidence(task->crash_evidence);
  auto* step = job->FindStep(*id);
  step->done += task->phase == TaskPhase::kDone ? 1 : 0;
  // Only a run that began can be done, fail or save a checkpoint.
  if (task->has_begun || task->phase == TaskPhase::kDone ||
      task->failures > 0 || !task->checkpoint.empty()) {
    job->NoteBegun();
  }
  return true;
}

auto JobTable::AddJob(JobSpec spec) -> Job& {
  const auto id = spec.id;
  auto& job = InsertJob(MakeJob(std::move(spec)));
  live_jobs_.insert_or_assign(id, &job);
  rows_.push_back(RowOfJob(job));
  return job;
}

auto JobTable::InsertJob(Job job) -> Job& {
  if (const auto* former = FindJob(job.spec.id)) {
    SubtractWork(*former);
  }
  job.bytes = BytesOfJob(job.spec);
  work_.Add(job.spec.account, job.bytes);
  const auto id = job.spec.id;
  return jobs_.insert_or_assign(id, std::move(job)).first->second;
}

auto JobTable::SubtractWork(const Job& job) -> void {
  work_.Remove(job.spec.account, job.bytes);
}

auto JobTable::FitsIntoRow(const JobSpec& spec, std::size_t max_bytes) -> bool {
  // Names and numbers of all fields, in MessagePack.
  constexpr std::size_t kMaxJobBytes = 1024;
  constexpr std::size_t kMaxStepBytes = 256;
  constexpr std::size_t kMaxNumberBytes = 9;
  auto most = kMaxJobBytes + spec.payload.size();
  for (const auto& step : spec.steps) {
    most += kMaxStepBytes + step.after.size() * kMaxNumberBytes +
            step.required_label.size() + step.data_rack.size();
  }
  // Only the row itself tells, but very few jobs need it to be made for that.
  return most <= max_bytes ||
         ToText(Json(spec)).size() + kMaxJobBytes <= max_bytes;
}

auto JobTable::FindJob(const std::string& id) -> Job* {
  const auto found = jobs_.find(id);
  return found == jobs_.end() ? nullptr : &found->second;
}

auto JobTable::FindJob(const std::string& id) const -> const Job* {
  const auto found = jobs_.find(id);
  return found == jobs_.end() ? nullptr : &found->second;
}

auto JobTable::StoreTask(Job& job, const Step& step, std::size_t index)
    -> void {
  const auto id = job.IdOf(step, index);
  auto* task = job.FindTask(id);
  task->stored = true;
  rows_.push_back(RowOfTask(id, *task));
}

auto JobTable::RecordBegun(const TaskId& id) -> void {
  auto* job = FindJob(id.job);
  auto* task = job == nullptr ? nullptr : job->FindTask(id);
  if (task == nullptr || job->has_begun || IsEnded(job->phase)) {
    return;
  }
  job->NoteBegun();
  task->has_begun = true;
  unstored_begun_tasks_.push_back(id);
}

auto JobTable::EndJob(Job& job, JobPhase phase, core::Millis now) -> void {
  job.phase = phase;
  job.ended_at = now;
  live_jobs_.erase(job.spec.id);
  rows_.push_back(RowOfJob(job));
  for (auto& step : job.steps) {
    for (std::size_t index = 0; index < step.tasks.size(); ++index) {
      if (std::exchange(step.tasks[index].stored, false)) {
        rows_.push_back({TaskKey(job.IdOf(step, index)), ""});
      }
    }
  }
}

auto JobTable::IsRowOf(const std::string& key, const std::string& job) -> bool {
  return key == JobKey(job) ||
         key.starts_with(std::string(kTaskPrefix) + job + ".");
}

auto JobTable::Withdraw(const std::string& id) -> void {
  live_jobs_.erase(id);
  if (const auto job = jobs_.find(id); job != jobs_.end()) {
    SubtractWork(job->second);
    jobs_.erase(job);
  }
  std::erase_if(rows_,
                [&](const StateRow& row) { return IsRowOf(row.key, id); });
}

auto JobTable::Prune(core::Millis ended_before) -> void {
  for (auto job = jobs_.begin(); job != jobs_.end();) {
    if (IsEnded(job->second.phase) && job->second.ended_at < ended_before) {
      rows_.push_back({JobKey(job->first), ""});
      SubtractWork(job->second);
      job = jobs_.erase(job);
    } else {
      ++job;
    }
  }
}

auto JobTable::PendingByQueue() const -> std::map<std::string, std::int64_t> {
  std::map<std::string, std::int64_t> pending;
  for (const auto& [id, job] : live_jobs_) {
    if (job->phase == JobPhase::kQueued) {
      ++pending[job->spec.queue];
    }
  }
  return pending;
}

auto JobTable::TakeRows(std::size_t max_bytes) -> std::vector<StateRow> {
  for (const auto& id : std::exchange(unstored_begun_tasks_, {})) {
    auto* job = FindJob(id.job);
    if (job != nullptr && !IsEnded(job->phase)) {
      StoreTask(*job, *job->FindStep(id), static_cast<std::size_t>(id.index));
    }
  }
  std::size_t bytes = 0;
  const auto end =
      std::find_if(rows_.begin(), rows_.end(), [&](const auto& row) {
        bytes += row.key.size() + row.value.size() + kRecordBytes;
        return bytes > max_bytes && &row != rows_.data();
      });
  if (end == rows_.end()) {
    return std::exchange(rows_, {});
  }
  std::vector<StateRow> taken(std::make_move_iterator(rows_.begin()),
                              std::make_move_iterator(end));
  rows_.erase(rows_.begin(), end);
  return taken;
}

}  // namespace kcm::dispatch
