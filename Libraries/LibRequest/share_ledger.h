#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "LibCore/clock.h"
#include "LibRequest/ledger_message.h"

namespace kcm::request {

/// The gateways that share resources, and the lease of their loans.
struct LedgerSettings {
  std::string self;
  /// All configured gateways, this one included.
  std::vector<std::string> gateways;
  /// Start time of this process by the wall clock.
  std::int64_t incarnation = 0;
  core::Millis lease = 30000;
  /// Maximum drift between two monotonic clocks over one lease.
  core::Millis clock_drift_margin = 1000;
};

/// One acquired unit of a resource.
struct AcquiredUnit {
  std::string resource;
  /// Gateway that owns the unit; empty for this one.
  std::string owner;
  std::int64_t loan = 0;
};

/// Divides units of resources, such as the slots of a minion, among gateways.
///
/// Every gateway owns a fixed share of each resource; the shares add up to the
/// total without coordination. Idle units are lent to gateways that request
/// them. The owner counts a unit as lent from before it sends the grant until
/// the unit is returned, or the lease plus the drift margin has expired by the
/// owner's clock. The borrower counts the lease from before it sent its
/// request, and acquires a unit only for a use that ends within the lease.
/// Hence no unit is ever in use twice, even if messages are lost, delayed or
/// reordered.
///
/// No I/O: the caller passes the time and delivers messages.
class ShareLedger {
 public:
  ShareLedger(LedgerSettings settings, core::Millis now);

  /// Registers a resource, or changes its total.
  auto SetTotal(const std::string& resource, std::int64_t total) -> void;

  /// @return number of units that can be acquired now for a use that ends by
  ///     `until`.
  [[nodiscard]] auto Available(const std::string& resource,
                               core::Millis now,
                               core::Millis until) const -> std::int64_t;

  /// @return own and borrowed units held now, in use or idle.
  [[nodiscard]] auto Held(const std::string& resource, core::Millis now) const
      -> std::int64_t;

  /// Acquires a unit, preferring an own one.
  /// @param until time by which the use is guaranteed to have ended.
  /// @return the unit, or nothing while none is available.
  [[nodiscard]] auto Acquire(const std::string& resource,
                             core::Millis now,
                             core::Millis until) -> std::optional<AcquiredUnit>;

  /// Releases a unit.
  /// @param free_at time at which the unit becomes available again.
  auto Release(const AcquiredUnit& use, core::Millis now, core::Millis free_at)
      -> void;

  /// Records that more units are needed; AdvanceTimers() sends the requests.
  auto RequestUnits(const std::string& resource,
                    std::int64_t count,
                    core::Millis now) -> void;

  /// Keeps the loans of a resource from being returned as idle. For resources
  /// whose units are not acquired one by one, such as an account's request
  /// rate, of which a gateway uses the fraction that it holds.
  auto RecordUse(const std::string& resource, core::Millis now) -> void;

  /// Completes due releases, drops expired loans, returns idle units and
  /// requests needed ones.
  /// @return messages to send.
  [[nodiscard]] auto AdvanceTimers(core::Millis now)
      -> std::vector<OutgoingLedgerMessage>;

  /// Handles a message.
  /// @return the answers to send.
  [[nodiscard]] auto HandleMessage(const std::string& from,
                                   const LedgerMessage& message,
                                   core::Millis now)
      -> std::vector<OutgoingLedgerMessage>;

  /// @return whether own units may be used: no loan that an earlier incarnation
  ///     of this gateway granted can still be in use.
  [[nodiscard]] auto MayUseOwnUnits(core::Millis now) const -> bool;

 private:
  using LoanKey = std::pair<std::string, std::int64_t>;

  struct Resource {
    std::int64_t total = 0;
    std::int64_t owned = 0;
    std::int64_t own_in_use = 0;
    std::int64_t lent = 0;
    std::int64_t requested = 0;
    core::Millis requested_at = -1;
    std::set<LoanKey> borrowed;
  };
  struct LentLoan {
    std::string resource;
    std::string borrower;
    std::int64_t count = 0;
    core::Millis expires_at = 0;
  };
  struct BorrowedLoan {
    std::string resource;
    std::int64_t owner_incarnation = 0;
    std::int64_t count = 0;
    std::int64_t in_use = 0;
    core::Millis expires_at = 0;
    core::Millis last_used_at = 0;
    bool recalled = false;
  };
  struct DelayedRelease {
    core::Millis free_at = 0;
    AcquiredUnit unit;
  };

  [[nodiscard]] auto FreeOwnUnits(const Resource& resource,
                                  core::Millis now) const -> std::int64_t;
  [[nodiscard]] auto MessageTo(const std::string& peer,
                               LedgerMessageType type) const
      -> OutgoingLedgerMessage;
  [[nodiscard]] auto ShouldReturn(const BorrowedLoan& loan,
                                  core::Millis now) const -> bool;
  auto ReleaseNow(const AcquiredUnit& use, core::Millis now) -> void;
  auto DropExpiredLoans(core::Millis now) -> void;
  auto ReturnIdleUnits(core::Millis now,
                       std::vector<OutgoingLedgerMessage>& outgoing) -> void;
  auto SendBorrowRequests(core::Millis now,
                          std::vector<OutgoingLedgerMessage>& outgoing) -> void;
  auto SendHello(core::Millis now,
                 std::vector<OutgoingLedgerMessage>& outgoing) const -> void;
  auto HandleHello(const std::string& from, const LedgerMessage& message)
      -> std::vector<OutgoingLedgerMessage>;
  auto HandleHelloAck(const std::string& from, const LedgerMessage& message)
      -> void;
  auto HandleBorrowRequest(const std::string& from,
                           const LedgerMessage& message,
                           core::Millis now)
      -> std::vector<OutgoingLedgerMessage>;
  auto HandleGrant(const std::string& from,
                   const LedgerMessage& message,
                   core::Millis now) -> void;
  auto HandleReturn(const std::string& from, const LedgerMessage& message)
      -> void;
  auto HandleRecall(const std::string& from, const LedgerMessage& message)
      -> void;

  LedgerSettings settings_;
  core::Millis started_at_;
  std::int64_t next_loan_;
  std::map<std::string, Resource> resources_;
  std::map<std::int64_t, LentLoan> lent_;
  /// Loans by owner and the number that the owner gave them.
  std::map<LoanKey, BorrowedLoan> borrowed_;
  std::vector<DelayedRelease> delayed_releases_;
  std::map<std::string, std::int64_t> peer_incarnations_;
  std::set<std::string> acknowledged_;
};

}  // namespace kcm::request
