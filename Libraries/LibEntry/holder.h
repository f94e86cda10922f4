#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "LibDispatch/dispatcher.h"
#include "LibEntry/boundary.h"
#include "LibEntry/claim.h"
#include "LibEntry/entry_settings.h"
#include "LibEntry/holder_request.h"
#include "LibEntry/table_follower.h"
#include "LibNet/event_loop.h"
#include "LibNode/metrics.h"
#include "LibPlatform/keyed_store.h"
#include "LibPlatform/task_port.h"

namespace kcm::entry {

/// What a holder needs of its process.
struct HolderParts {
  net::EventLoop& loop;
  platform::KeyedStore& store;
  platform::TaskPort& tasks;
  const Boundary& boundary;
  node::Metrics& metrics;
};

/// The work of the process that holds the term: it stores batches of rows,
/// carries out calls to workers and answers requests about jobs.
///
/// Appends go out one at a time under the term's epoch, each repeated with its
/// sequence number until the store answers, so no append is ever in doubt for
/// longer than the store is away.
class Holder : public std::enable_shared_from_this<Holder> {
 public:
  using AnswerDone = std::function<void(HolderAnswer)>;

  /// @param on_lost called once when another process has taken the term.
  Holder(HolderParts parts,
         const EntrySettings& settings,
         const ClaimResult& claim,
         std::function<void()> on_lost);

  /// Begins to follow the fleet; call once it is held by a shared pointer.
  auto Start() -> void;

  auto SetSettings(const EntrySettings& settings) -> void;
  auto SetRoutes(const RouteTable& routes) -> void;

  /// Answers a request once what it depends on is stored.
  auto Handle(const HolderRequest& request, const AnswerDone& done) -> void;

  /// Does whatever is due.
  auto Pump() -> void;

  /// Gives up at once: another process holds a newer term, which the store
  /// has granted only by shutting this one out.
  auto Abandon() -> void;

  /// Takes no more requests, and is done when all that was decided is stored.
  auto Resign(std::function<void()> done) -> void;

  [[nodiscard]] auto term() const -> const TermRow& { return term_; }
  /// @return for how long the store has not taken an append; zero if it does.
  [[nodiscard]] auto StorelessMs() const -> core::Millis;
  [[nodiscard]] auto PendingByQueue() const
      -> std::map<std::string, std::int64_t> {
    return dispatcher_.PendingByQueue();
  }

 private:
  /// One append that the store has not answered yet.
  struct Append {
    std::vector<dispatch::Row> rows;
    /// Number of the batch; zero for a mere renewal of the term.
    std::uint64_t batch = 0;
    core::Millis first_sent_at = 0;
    int failures = 0;
    /// An attempt got no answer: the rows may stand in the store.
    bool in_doubt = false;
  };
  struct Waiter {
    AnswerDone done;
    HolderAnswer answer;
    /// Set for a submission.
    std::string submitted;
  };

  static auto Now() -> dispatch::Moment;
  auto PumpAppends(core::Millis now) -> void;
  auto SendAppend() -> void;
  auto OnAppended(platform::StoreEnd end) -> void;
  auto SendCalls() -> void;
  auto LogNotes() -> void;
  auto Lose() -> void;
  auto OnFleet(const std::vector<dispatch::Row>& rows, bool whole) -> void;
  auto AnswerAt(std::uint64_t batch,
                HolderAnswer answer,
                const AnswerDone& done,
                const std::string& submitted = "") -> void;
  /// Refuses the submissions that the store provably did not take.
  auto WithdrawRefused() -> void;
  [[nodiscard]] auto IsRefused(core::Millis now) const -> bool;
  auto Submit(const HolderRequest& request, const AnswerDone& done) -> void;
  auto Read(const HolderRequest& request, const AnswerDone& done) -> void;
  auto Cancel(const HolderRequest& request, const AnswerDone& done) -> void;
  [[nodiscard]] auto MayNotBeKnownYet() const -> bool;

  HolderParts parts_;
  TermRow term_;
  std::function<void()> on_lost_;
  dispatch::Dispatcher dispatcher_;
  std::map<std::string, dispatch::WorkerInfo> fleet_;
  std::unique_ptr<TableFollower> fleet_follower_;
  std::int64_t sequence_;
  std::optional<Append> append_;
  /// When the newest stored append was first sent.
  core::Millis confirmed_at_;
  bool renew_now_ = false;
  bool active_ = true;
  std::multimap<std::uint64_t, Waiter> waiters_;
  std::function<void()> on_resigned_;
};

}  // namespace kcm::entry
