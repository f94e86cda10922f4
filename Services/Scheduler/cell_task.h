#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>

#include "LibNode/heartbeats.h"
#include "LibNode/node.h"
#include "LibPlatform/http_worker_port.h"
#include "LibSchedule/fleet_model.h"
#include "LibState/cell_fold.h"
#include "gang_reports.h"
#include "worker_directory.h"

namespace kcm::scheduler {

/// Schedules the jobs of one data centre while this process holds its term.
///
/// A gang takes leases on all its workers, then its placement is appended and
/// read back, and only then its tasks start. After a takeover the next holder
/// finishes or ends what the log shows as placed.
class CellTask {
 public:
  CellTask(node::Node& node,
           node::Heartbeats& heartbeats,
           WorkerDirectory& workers,
           std::string data_centre);

  /// Gives up the term at the next opportunity and claims no other.
  auto Resign() -> void { resigned_ = true; }

 private:
  struct Assembly;

  [[nodiscard]] auto cell() const -> const state::CellFold&;
  [[nodiscard]] auto Leads() const -> bool;
  [[nodiscard]] auto TermNumber() const -> std::int64_t;

  auto Tick() -> void;
  auto ConsiderClaim() -> void;
  auto Place() -> void;
  auto Assemble(const state::Job& job, std::vector<state::Member> members)
      -> void;
  auto OnLeases(const std::shared_ptr<Assembly>& assembly) -> void;
  auto OnPlaced(const std::shared_ptr<Assembly>& assembly,
                const state::Verdict& verdict) -> void;
  auto Release(const std::vector<state::Member>& members) -> void;
  auto Watch() -> void;
  auto WatchGang(const state::Job& job) -> void;
  auto OnRenewed(const std::string& job,
                 std::int64_t attempt,
                 const std::string& lease,
                 const platform::RenewResult& result) -> void;
  auto Judge(const std::string& id) -> void;
  auto StopGang(const state::Job& job) -> void;
  auto End(const state::Job& job,
           state::JobStatus status,
           const std::string& reason) -> void;
  auto Append(state::RecordKind kind,
              core::Json body,
              node::LogWriter::Done done) -> void;

  node::Node& node_;
  node::Heartbeats& heartbeats_;
  WorkerDirectory& workers_;
  platform::HttpWorkerPort port_;
  std::string data_centre_;
  std::string stream_;
  core::Millis settled_since_;
  bool resigned_ = false;
  bool claiming_ = false;
  /// Job ids whose gang is taking leases or waits for its commit.
  std::set<std::string> assembling_;
  /// What the members of placed gangs reported last, by job id.
  std::map<std::string, GangReports> gangs_;
};

}  // namespace kcm::scheduler
