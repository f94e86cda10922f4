#include "fleet_api.h"

#include <map>
#include <string>

#include "LibCore/clock.h"
#include "LibCore/json_decode.h"
#include "LibNet/http_status.h"
#include "LibState/cordon.h"

namespace kcm::gateway {

namespace {

constexpr core::Millis kCordonTimeout = 10000;

/// @return ids of the jobs with a member on each worker, by worker.
auto JobsByWorker(node::Node& node) -> std::map<std::string, core::Json> {
  std::map<std::string, core::Json> jobs;
  for (const auto& data_centre : node.DataCentresOf("")) {
    const auto* cell = node.log().cluster_state().FindCell(data_centre);
    for (const auto& [id, job] : cell->jobs()) {
      if (state::IsEnded(job.status)) {
        continue;
      }
      for (const auto& member : job.members) {
        jobs[member.worker].push_back(id);
      }
    }
  }
  return jobs;
}

}  // namespace

auto FleetApi::ListWorkers(const ApiCall& call) -> void {
  const auto& table = node_.log().cluster_state().table();
  auto jobs = JobsByWorker(node_);
  core::Json workers = core::Json::array();
  for (const auto& worker : table.fleet().workers) {
    const auto cordon = table.cordons().find(worker.id);
    const bool cordoned = cordon != table.cordons().end();
    core::Json entry = worker;
    entry["cordoned"] = cordoned;
    entry["reason"] = cordoned ? cordon->second.reason : "";
    entry["jobs"] =
        jobs.contains(worker.id) ? jobs[worker.id] : core::Json::array();
    workers.push_back(std::move(entry));
  }
  call.reply.SendJson(net::kHttpOk, {{"workers", workers}});
}

auto FleetApi::Cordon(const ApiCall& call) -> void {
  SetCordon(call, true);
}

auto FleetApi::Uncordon(const ApiCall& call) -> void {
  SetCordon(call, false);
}

auto FleetApi::SetCordon(const ApiCall& call, bool cordoned) -> void {
  const auto document = core::ParseJson(call.request.body);
  state::Cordon cordon;
  cordon.worker = call.parameters.front();
  cordon.cordoned = cordoned;
  if (document.is_object() && document.contains("reason")) {
    if (!document.at("reason").is_string()) {
      ReplyWithError(call, core::ErrorKind::kBadInput, "reason",
                     "reason is " + core::DescribeValue(document.at("reason")) +
                         "; allowed is a text.");
      return;
    }
    cordon.reason = document.at("reason").get<std::string>();
  }
  node_.writer().Append(
      std::string(state::kTableStream),
      state::MakeRecord(state::RecordKind::kWorkerCordoned, "operator", cordon),
      core::MonotonicNow() + kCordonTimeout,
      [call, cordon](const state::ApplyResult& result) {
        if (!result.accepted) {
          call.reply.SendError(result.reason);
          return;
        }
        call.reply.SendJson(net::kHttpOk, {{"worker", cordon.worker},
                                           {"cordoned", cordon.cordoned}});
      });
}

auto FleetApi::ListMinions(const ApiCall& call) -> void {
  node_.vm_list().List(
      "minion", [call](const std::optional<std::vector<platform::Vm>>& vms) {
        if (!vms) {
          ReplyWithError(call, core::ErrorKind::kNoEndpoint, "platform",
                         "The platform's VM list does not answer.");
          return;
        }
        core::Json minions = core::Json::array();
        for (const auto& vm : *vms) {
          minions.push_back({{"id", vm.id},
                             {"data_centre", vm.data_centre},
                             {"address", vm.address.ToString()},
                             {"leaving", vm.leaving}});
        }
        call.reply.SendJson(net::kHttpOk, {{"minions", minions}});
      });
}

}  // namespace kcm::gateway
