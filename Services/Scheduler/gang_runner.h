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

/// Carries out what the gangs of one data centre ask for: calls to workers
/// and records to the log.
class GangRunner {
 public:
  /// Told when a gang gave up before its placement stood in the log.
  using AssemblyFailed = std::function<void(const std::string& job)>;

  GangRunner(node::Node& node,
             const TermKeeper& term,
             WorkerDirectory& workers,
             std::string data_centre,
             AssemblyFailed failed);

  /// Takes leases for a new attempt.
  /// @param members members without lease ids.
  auto Assemble(const state::Job& job,
                std::int64_t attempt,
                std::vector<state::Member> members) -> void;

  /// Watches a gang that stands in the log as placed.
  auto Adopt(const state::Job& job) -> void;

  /// Passes an event on to the gang of a job, if there is one.
  auto Notify(const std::string& job, const gang::GangEvent& event) -> void;

  /// Drops the gang of a job that ended, or takes its leases back when it was
  /// cancelled before the commit.
  auto OnJobEnded(const std::string& job) -> void;

  /// Drops the gang of a job that waits again.
  auto Forget(const std::string& job) -> void;

  /// Drops all gangs without any command: the term is over.
  auto Clear() -> void { gangs_.clear(); }

  /// Lets time pass for all gangs.
  auto Tick() -> void;

  /// Renews the leases of all gangs, one call for each worker.
  auto Renew() -> void;

  /// Renews the leases of placed gangs for a holder that is dead while the
  /// log takes no claim; sends no other command.
  auto RenewForHolder() -> void;

  [[nodiscard]] auto size() const -> std::size_t { return gangs_.size(); }

 private:
  struct LeaseOwner {
    std::string job;
    std::size_t member = 0;
  };
  using Batch = std::map<std::string, LeaseOwner>;
  /// Batches by worker.
  using Batches = std::map<std::string, Batch>;

  [[nodiscard]] auto cell() const -> const state::CellFold&;
  [[nodiscard]] auto Settings() const -> gang::GangSettings;
  auto Acquire(const state::Job& job, std::size_t member) -> void;
  auto Perform(const std::string& job, const gang::GangActions& actions)
      -> void;
  auto Do(const state::Job& job, const gang::CommitPlacement& action) -> void;
  auto Do(const state::Job& job, const gang::CommandMember& action) -> void;
  auto Do(const state::Job& job, const gang::RecordEnd& action) -> void;
  auto Do(const state::Job& job, const gang::RecordRequeue& action) -> void;
  auto Do(const state::Job& job, const gang::AbandonAssembly& action) -> void;
  auto Start(const state::Job& job, std::size_t member) -> void;
  auto Stop(const state::Job& job, std::size_t member) -> void;
  auto ReleaseLeases(const state::Job& job) -> void;
  /// Renews the leases of one gang at once, as its start waits for reports.
  auto RenewGang(const std::string& id) -> void;
  static auto Collect(const std::string& id,
                      const gang::Gang& gang,
                      Batches& batches) -> void;
  auto RenewOn(const std::string& worker, const Batch& batch) -> void;
  auto OnRenewed(const Batch& batch, const platform::RenewResult& result)
      -> void;
  /// Appends a record until the fold has decided about it.
  auto Record(const state::Record& record,
              std::int64_t term,
              const std::function<void()>& settled) -> void;
  /// Closes an attempt in the log and forgets its gang.
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
  AssemblyFailed failed_;
  std::map<std::string, gang::Gang> gangs_;
  /// Workers whose renewal is under way.
  std::set<std::string> renewing_;
  /// Jobs that RenewForHolder() found broken and lets lapse.
  std::set<std::string> lapsing_;
};

}  // namespace kcm::scheduler
