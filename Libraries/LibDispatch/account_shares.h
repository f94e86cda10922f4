#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "LibCore/clock.h"
#include "LibDispatch/resources.h"

namespace kcm::dispatch {

/// Client account of the jobs of one pool of workers.
struct PoolAccount {
  std::string service;
  std::string account;

  auto operator<=>(const PoolAccount&) const =
      default;  // NOLINT(modernize-use-nullptr)
};

/// Jobs that are ordered among each other: those of one tier and priority.
using OrderGroup = std::pair<int, std::int64_t>;

/// Usage of an account and what it is entitled to, as dominant shares of a
/// pool: the largest of its shares of cores, memory and accelerators.
struct AccountShare {
  /// Of its present runs, and the moving average.
  double present = 0;
  double average = 0;
  /// Its share while it has enough waiting work; one if the pool has room for
  /// the demand of all.
  double max_min = 1;
  /// The average is beyond the max-min share.
  bool is_average_beyond = false;
};

/// What an account asks of a pool beyond what it runs.
using WaitingDemand = std::map<std::string, Resources>;

/// Usage of each account beyond its guarantee, for weighted max-min fairness on
/// dominant shares.
///
/// A run is charged when it is placed and until it is known to have ended. All
/// state is in memory: a new term holder charges the runs that it adopts, and
/// its averages start from them.
class AccountShares {
 public:
  /// Time constant of the moving average. Callers notice a delay of seconds
  /// (objectives are 3 to 30 s). Half of a usage is forgotten after 3.5 s, the
  /// shortest objective, and a run of 2 to 10 s does not dominate an average.
  static constexpr core::Millis kAveragingMs = 5000;
  /// With less data there are no shares: after a takeover the runs of former
  /// holders are still being confirmed.
  static constexpr core::Millis kMinDataMs = 1000;
  /// An average beyond the share counts as such until it is below this part of
  /// it. Demand, and with it the shares, changes by some percent with each job,
  /// and reservations would move between gangs with each change. With a margin
  /// above the share, others could hold the capacity of a small account.
  static constexpr double kReturnBelow = 0.9;

  /// Sets from when on there is data. The averages start from what runs when
  /// there is enough.
  auto set_started_at(core::Millis now) -> void { started_at_ = now; }

  /// Replaces the accelerators that are guaranteed to each account. Weights are
  /// in proportion to them; accounts without a guarantee have the weight of the
  /// smallest one.
  auto SetGuarantees(const std::map<std::string, std::int64_t>& guarantees)
      -> void;

  /// Charges a run that is placed, or was placed by a former holder.
  /// @param is_guaranteed whether a guarantee covers the job, if this is the
  ///     only run of it; see SetGuaranteedJobs() for others.
  auto AddRun(const PoolAccount& owner,
              const std::string& job,
              const Resources& demand,
              bool is_guaranteed,
              core::Millis now) -> void;
  auto RemoveRun(const std::string& job,
                 const Resources& demand,
                 core::Millis now) -> void;
  /// Updates which jobs are covered by a guarantee; their runs are not charged.
  auto SetGuaranteedJobs(const std::map<std::string, bool>& guaranteed_jobs,
                         core::Millis now) -> void;
  /// Records that a job has ended; its remaining runs are charged as before.
  auto OnJobEnded(const std::string& job) -> void;

  [[nodiscard]] auto HasEnoughData(core::Millis now) const -> bool {
    return now - started_at_ >= kMinDataMs;
  }

  /// Computes the max-min shares of the accounts of a pool.
  /// @param waiting of the jobs of the group and of those ahead of it.
  /// @return the share of each account with waiting demand or runs.
  [[nodiscard]] auto MaxMinShares(const std::string& service,
                                  const Resources& total,
                                  const WaitingDemand& waiting) const
      -> std::map<std::string, double>;

  /// Compares the usage of an account, including the runs placed so far, with
  /// its max-min share, and remembers whether its average is beyond it.
  [[nodiscard]] auto Compare(const PoolAccount& owner,
                             const OrderGroup& group,
                             const Resources& total,
                             double max_min,
                             core::Millis now) -> AccountShare;

  /// @return the demand of all runs that are charged, guaranteed or not.
  [[nodiscard]] auto InUse() const -> Resources;
  /// @return the number of accounts that are tracked.
  [[nodiscard]] auto size() const -> std::size_t { return usages_.size(); }
  /// Forgets the accounts whose usage has no effect any more.
  auto Prune(core::Millis now) -> void;

  /// @return the weight of an account, at least one.
  [[nodiscard]] auto WeightOf(const std::string& account) const -> double;

 private:
  /// Cores, memory and accelerators, in the units of Resources.
  using Amounts = std::array<double, 3>;

  struct Usage {
    Resources current;
    std::int64_t runs = 0;
    Amounts average{};
    core::Millis updated_at = 0;
    /// Groups in which the average is beyond the share.
    std::vector<OrderGroup> beyond_in;
  };
  /// The runs of one job.
  struct Charge {
    PoolAccount owner;
    Resources in_use;
    std::int64_t runs = 0;
    bool is_guaranteed = false;
    bool has_ended = false;
  };

  static auto AmountsOf(const Resources& resources) -> Amounts;
  /// @return the average at a time until which the present usage holds.
  [[nodiscard]] auto AverageAt(const Usage& usage, core::Millis now) const
      -> Amounts;
  /// @return the usage of the account, brought up to date.
  auto UsageAt(const PoolAccount& owner, core::Millis now) -> Usage&;
  /// Adds runs to the usage of an account, or removes them.
  auto Change(const PoolAccount& owner,
              const Resources& demand,
              std::int64_t runs,
              core::Millis now) -> void;

  core::Millis started_at_ = 0;
  std::map<std::string, double> weights_;
  std::map<PoolAccount, Usage> usages_;
  std::map<std::string, Charge> charges_;
  /// Present usage of guaranteed jobs, by pool.
  std::map<std::string, Resources> guaranteed_use_;
};

}  // namespace kcm::dispatch
