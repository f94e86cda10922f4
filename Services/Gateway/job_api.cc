#include "job_api.h"

#include <utility>

#include "LibCore/clock.h"
#include "LibCore/identity.h"
#include "LibCore/json_decode.h"
#include "LibNet/http_status.h"
#include "LibSchedule/placement.h"

namespace kcm::gateway {

namespace {

/// A record reaches all gateways within this, unless the log or a relay is cut
/// off.
constexpr core::Millis kRecordDelayMs = 500;
constexpr core::Millis kRecordPollMs = 10;
constexpr core::Millis kSubmitTimeout = 10000;

auto IsVisibleTo(const Caller& caller, const state::Job& job) -> bool {
  return caller.is_operator || caller.account == job.spec.account;
}

}  // namespace

auto JobApi::Submit(const ApiCall& call) -> void {
  if (call.caller.is_operator) {
    ReplyWithError(
        call, core::ErrorKind::kForbidden, "authorization",
        "Operators cannot submit jobs; use a client account's token.");
    return;
  }
  const auto document = core::ParseJson(call.request.body);
  core::Reason reason;
  auto spec = state::ReadJobSpec(document, reason);
  if (!spec) {
    call.reply.SendError(reason);
    return;
  }
  spec->account = call.caller.account;
  const auto& world = node_.log().cluster_state();
  if (world.FindCell(spec->data_centre) == nullptr) {
    ReplyWithError(
        call, core::ErrorKind::kBadInput, "data_centre",
        "\"" + spec->data_centre + "\" is not a data centre of this system." +
            core::DidYouMean(spec->data_centre, node_.DataCentresOf("")));
    return;
  }
  const auto& idle =
      empty_fleet_.ModelOf(world.table().fleet(), spec->data_centre);
  if (!schedule::FindPlacement(idle, spec->shape)) {
    ReplyWithError(call, core::ErrorKind::kNeverFits, "shape",
                   "The gang finds no room in " + spec->data_centre +
                       " even when all its workers are free.");
    return;
  }
  const auto id = core::MakeId("job");
  auto record = state::MakeRecord(state::RecordKind::kJobSubmitted,
                                  node_.self(), {{"job", id}, {"spec", *spec}});
  node_.writer().Append(
      state::JobStreamOf(spec->data_centre), std::move(record),
      core::MonotonicNow() + kSubmitTimeout,
      [this, call, spec = *spec, id](const state::ApplyResult& result) {
        OnSubmitted(call, spec, id, result);
      });
}

auto JobApi::OnSubmitted(const ApiCall& call,
                         const state::JobSpec& spec,
                         const std::string& id,
                         const state::ApplyResult& result) -> void {
  if (result.accepted) {
    call.reply.SendJson(net::kHttpAccepted, {{"job", id}});
    return;
  }
  const auto* cell = node_.log().cluster_state().FindCell(spec.data_centre);
  const auto* earlier = cell->FindJobByKey(spec.account, spec.idempotency_key);
  if (result.reason.kind == core::ErrorKind::kConflict && earlier != nullptr) {
    call.reply.SendJson(net::kHttpAccepted,
                        {{"job", earlier->id}, {"repeated", true}});
    return;
  }
  call.reply.SendError(result.reason);
}

auto JobApi::List(const ApiCall& call) -> void {
  core::Json jobs = core::Json::array();
  for (const auto& data_centre : node_.DataCentresOf("")) {
    const auto* cell = node_.log().cluster_state().FindCell(data_centre);
    for (const auto& [id, job] : cell->jobs()) {
      if (IsVisibleTo(call.caller, job)) {
        jobs.push_back({{"id", id},
                        {"account", job.spec.account},
                        {"data_centre", data_centre},
                        {"status", job.status},
                        {"reason", job.reason}});
      }
    }
  }
  call.reply.SendJson(net::kHttpOk, {{"jobs", jobs}});
}

auto JobApi::FindVisible(const ApiCall& call) const -> const state::Job* {
  const auto& id = call.parameters.front();
  for (const auto& data_centre : node_.DataCentresOf("")) {
    const auto* job =
        node_.log().cluster_state().FindCell(data_centre)->FindJob(id);
    if (job != nullptr && IsVisibleTo(call.caller, *job)) {
      return job;
    }
  }
  return nullptr;
}

auto JobApi::WhenVisible(const ApiCall& call,
                         core::Millis deadline,
                         const JobHandler& handler) -> void {
  if (const auto* job = FindVisible(call)) {
    handler(*job);
    return;
  }
  if (core::MonotonicNow() >= deadline) {
    ReplyWithError(call, core::ErrorKind::kNotFound, "job",
                   "There is no job " +
                       core::QuoteText(call.parameters.front()) +
                       " of this account.");
    return;
  }
  node_.loop().After(kRecordPollMs, [this, call, deadline, handler] {
    WhenVisible(call, deadline, handler);
  });
}

auto JobApi::Show(const ApiCall& call) -> void {
  WhenVisible(call, core::MonotonicNow() + kRecordDelayMs,
              [this, call](const state::Job& job) { ShowJob(call, job); });
}

auto JobApi::ShowJob(const ApiCall& call, const state::Job& job) -> void {
  core::Json document = job;
  if (job.status != state::JobStatus::kAccepted) {
    call.reply.SendJson(net::kHttpOk, document);
    return;
  }
  explainer_.RequestExplanation(
      job, [call, document](const std::string& text) mutable {
        document["waiting_because"] =
            text.empty() ? "the scheduler did not answer" : text;
        call.reply.SendJson(net::kHttpOk, document);
      });
}

auto JobApi::Cancel(const ApiCall& call) -> void {
  WhenVisible(call, core::MonotonicNow() + kRecordDelayMs,
              [this, call](const state::Job& job) { CancelJob(call, job); });
}

auto JobApi::CancelJob(const ApiCall& call, const state::Job& job) -> void {
  auto record =
      state::MakeRecord(state::RecordKind::kJobCancelled, node_.self(),
                        {{"job", job.id}, {"reason", "cancelled by caller"}});
  node_.writer().Append(
      state::JobStreamOf(job.spec.data_centre), std::move(record),
      core::MonotonicNow() + kSubmitTimeout,
      [call](const state::ApplyResult& result) {
        if (result.accepted) {
          call.reply.SendJson(net::kHttpAccepted, {{"cancelled", true}});
          return;
        }
        call.reply.SendError(result.reason);
      });
}

}  // namespace kcm::gateway
