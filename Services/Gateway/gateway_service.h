#pragma once

#include <memory>
#include <string_view>

#include "LibNode/heartbeats.h"
#include "LibNode/log_follower.h"
#include "LibNode/service.h"
#include "api_call.h"
#include "fleet_api.h"
#include "job_api.h"
#include "request_api.h"
#include "status_api.h"
#include "table_api.h"

namespace kcm::gateway {

/// Serves the HTTP API for client accounts and operators.
class GatewayService final : public node::Service {
 public:
  [[nodiscard]] static auto create(node::Node& node, core::Reason& reason)
      -> std::unique_ptr<node::Service>;

  explicit GatewayService(node::Node& node);

  auto Drain(std::function<void()> done) -> void override;

 private:
  struct Route;

  static auto Routes() -> std::span<const Route>;
  static auto SuggestCall(const net::HttpRequest& request) -> std::string;
  /// Starts the trace span of this hop; the answer ends it.
  auto TraceCall(ApiCall& call) -> void;
  auto OnRequest(net::HttpRequest request, net::HttpReply reply) -> void;
  auto ShowHealth(const ApiCall& call) -> void;
  auto ShowStatus(const ApiCall& call) -> void;
  auto SubmitRequest(const ApiCall& call) -> void { requests_.Submit(call); }
  auto SubmitJob(const ApiCall& call) -> void { jobs_.Submit(call); }
  auto ListJobs(const ApiCall& call) -> void { jobs_.List(call); }
  auto ShowJob(const ApiCall& call) -> void { jobs_.Show(call); }
  auto CancelJob(const ApiCall& call) -> void { jobs_.Cancel(call); }
  auto ShowTable(const ApiCall& call) -> void { table_.ShowTable(call); }
  auto ShowHistory(const ApiCall& call) -> void { table_.ShowHistory(call); }
  auto ShowRow(const ApiCall& call) -> void { table_.ShowRow(call); }
  auto EditRow(const ApiCall& call) -> void { table_.EditRow(call); }
  auto ShowFleet(const ApiCall& call) -> void { table_.ShowFleet(call); }
  auto RecordFleet(const ApiCall& call) -> void { table_.RecordFleet(call); }

  auto ListWorkers(const ApiCall& call) -> void { fleet_.ListWorkers(call); }
  auto Cordon(const ApiCall& call) -> void { fleet_.Cordon(call); }
  auto Uncordon(const ApiCall& call) -> void { fleet_.Uncordon(call); }
  auto ListMinions(const ApiCall& call) -> void { fleet_.ListMinions(call); }
  auto ShowProcesses(const ApiCall& call) -> void {
    status_.ShowProcesses(call);
  }

  node::Node& node_;
  node::Heartbeats heartbeats_;
  node::LogFollower follower_;
  TableApi table_;
  FleetApi fleet_;
  StatusApi status_;
  JobApi jobs_;
  RequestApi requests_;
  std::unique_ptr<net::HttpServer> server_;
  bool draining_ = false;
};

}  // namespace kcm::gateway
