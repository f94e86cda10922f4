#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "LibGang/gang.h"
#include "LibNode/node.h"
#include "LibPlatform/http_worker_port.h"
#include "LibState/cell_fold.h"
#include "term_keeper.h"
#include "worker_directory.h"

namespace kcm::scheduler {

/// Runs the gangs of one data centre: a gang::Gang is the state machine of one
/// attempt of a job, whose members start together on their workers. Passes
/// events to it and executes the actions that it returns: calls to workers and
/// appends to the log.
class GangRunner {
 public:
  /// Called when a gang was abandoned before its placement was in the log.
  using AssemblyFailed = std::function<void(const std::string& job)>;

  GangRunner(node::Node& node,
             const TermKeeper& term,
             WorkerDirectory& workers,
             std::string data_centre,
             AssemblyFailed failed);

  /// Acquires leases for a new attempt.
  /// @param members members without lease ids.
  auto Assemble(const state::Job& job,
                std::int64_t attempt,
                std::vector<state::Member> members) -> void;

  /// Manages a gang that is placed according to the log.
  auto Adopt(const state::Job& job) -> void;

  /// Passes an event on to the gang of a job, if there is one.
  auto NotifyGang(const std::string& job, const gang::GangEvent& event) -> void;

  /// Drops the gang of a job that ended, or releases its leases when it ended
  /// before the placement was committed.
  auto OnJobEnded(const std::string& job) -> void;

  /// Drops the gang of a job that is queued again; sends nothing, as
  /// CloseAttempt() releases its leases.
  auto DropGang(const std::string& job) -> void;

  /// Drops all gangs without sending commands, when the term has ended.
  auto DropAllGangs() -> void { gangs_.clear(); }

  /// Advances the timers of all gangs.
  auto AdvanceTimers() -> void;

  /// Renews the leases of all gangs with one call per worker.
  auto RenewLeases() -> void;

  /// Renews the leases of placed gangs for a dead term holder while the log
  /// accepts no claim; sends no other command.
  auto RenewForHolder() -> void;

  [[nodiscard]] auto size() const -> std::size_t { return gangs_.size(); }

 private:
  struct LeaseOwner {
    std::string job;
    std::size_t member = 0;
  };
  using LeaseBatch = std::map<std::string, LeaseOwner>;
  /// Lease batches by worker.
  using LeaseBatches = std::map<std::string, LeaseBatch>;

  [[nodiscard]] auto cell() const -> const state::CellFold&;
  [[nodiscard]] auto MakeGangSettings() const -> gang::GangSettings;
  auto AcquireLease(const state::Job& job, std::size_t member) -> void;
  auto ExecuteActions(const std::string& job, const gang::GangActions& actions)
      -> void;
  auto ExecuteAction(const state::Job& job, const gang::CommitPlacement& action)
      -> void;
  auto ExecuteAction(const state::Job& job, const gang::CommandMember& action)
      -> void;
  auto ExecuteAction(const state::Job& job, const gang::RecordEnd& action)
      -> void;
  auto ExecuteAction(const state::Job& job, const gang::RecordRequeue& action)
      -> void;
  auto ExecuteAction(const state::Job& job, const gang::AbandonAssembly& action)
      -> void;
  auto StartMember(const state::Job& job, std::size_t member) -> void;
  auto StopMember(const state::Job& job, std::size_t member) -> void;
  auto ReleaseLeases(const state::Job& job) -> void;
  /// Renews the leases of one gang at once, as its start waits for reports.
  auto RenewGang(const std::string& id) -> void;
  static auto CollectRenewals(const std::string& id,
                              const gang::Gang& gang,
                              LeaseBatches& batches) -> void;
  auto RenewOnWorker(const std::string& worker, const LeaseBatch& batch)
      -> void;
  auto OnRenewed(const LeaseBatch& batch, const platform::RenewResult& result)
      -> void;
  /// Repeats the append of a record, while this process holds the term, until
  /// the log contains it and it is accepted or rejected.
  auto AppendUntilSettled(const state::Record& record,
                          std::int64_t term,
                          const std::function<void()>& settled) -> void;
  /// Records the end of an attempt in the log and releases its leases.
  auto CloseAttempt(const state::Job& job,
                    state::RecordKind kind,
                    core::Json body) -> void;
  /// Applies an event only while the gang is still at the same attempt.
  auto NotifyAttempt(const std::string& job,
                     std::int64_t attempt,
                     const gang::GangEvent& event) -> void;

  node::Node& node_;
  const TermKeeper& term_;
  WorkerDirectory& workers_;
  platform::HttpWorkerPort port_;
  std::string data_centre_;
  AssemblyFailed on_assembly_failed_;
  std::map<std::string, gang::Gang> gangs_;
  /// Workers with a renewal in flight.
  std::set<std::string> renewing_;
  /// Jobs that lost a member; RenewForHolder() lets their leases expire.
  std::set<std::string> broken_jobs_;
};

}  // namespace kcm::scheduler
