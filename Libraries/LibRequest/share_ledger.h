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

/// Who shares, and how long loans last.
struct LedgerSettings {
  std::string self;
  /// All gateways of the settings, this one included.
  std::vector<std::string> gateways;
  /// Start time of this process by the wall clock.
  std::int64_t incarnation = 0;
  core::Millis lease = 30000;
  /// Difference that two monotonic clocks may show over one lease.
  core::Millis margin = 1000;
};

/// One unit in use.
struct ShareUse {
  std::string resource;
  /// Owner of the unit; empty for this gateway.
  std::string owner;
  std::int64_t loan = 0;
};

/// Divides units of resources, such as the slots of a minion, among gateways.
///
/// Every gateway owns a fixed share of each resource, so that the shares add
/// up to the total without any agreement. Idle units are lent to gateways in
/// need. The owner counts a unit as lent from before it tells the borrower
/// until it comes back or the lease has lapsed by the owner's clock plus the
/// margin. The borrower counts the lease from before it asked, and takes a
/// unit only for a use that ends within the lease. Hence no unit is ever in
/// use twice, whatever messages are lost, late or reordered.
///
/// Pure state: the caller brings the clock and passes messages on.
class ShareLedger {
 public:
  ShareLedger(LedgerSettings settings, core::Millis now);

  /// Makes a resource known, or changes its total.
  auto SetTotal(const std::string& resource, std::int64_t total) -> void;

  /// @return units that can be taken now for a use that ends by `until`.
  [[nodiscard]] auto Available(const std::string& resource,
                               core::Millis now,
                               core::Millis until) const -> std::int64_t;

  /// @return units held now, in use or not.
  [[nodiscard]] auto Held(const std::string& resource, core::Millis now) const
      -> std::int64_t;

  /// Takes a unit, an own one first.
  /// @param until time by which the use has provably ended.
  /// @return the unit, or nothing while none is available.
  [[nodiscard]] auto Acquire(const std::string& resource,
                             core::Millis now,
                             core::Millis until) -> std::optional<ShareUse>;

  /// Gives a unit back.
  /// @param free_at time until which the unit may still be in use.
  auto Release(const ShareUse& use, core::Millis now, core::Millis free_at)
      -> void;

  /// Notes that more units are needed; they are asked for at the next tick.
  auto Want(const std::string& resource, std::int64_t count, core::Millis now)
      -> void;

  /// Notes a use of a resource whose units are not taken one by one.
  auto Touch(const std::string& resource, core::Millis now) -> void;

  /// Ends what is due and says what to send.
  [[nodiscard]] auto Tick(core::Millis now) -> std::vector<LedgerSend>;

  /// Handles a message.
  /// @return the answers to send.
  [[nodiscard]] auto OnMessage(const std::string& from,
                               const LedgerMessage& message,
                               core::Millis now) -> std::vector<LedgerSend>;

  /// @return whether own units may be used: no loan of a predecessor of this
  ///     process can be in use any more.
  [[nodiscard]] auto IsUsable(core::Millis now) const -> bool;

 private:
  using LoanName = std::pair<std::string, std::int64_t>;

  struct Resource {
    std::int64_t total = 0;
    std::int64_t owned = 0;
    std::int64_t own_busy = 0;
    std::int64_t lent = 0;
    std::int64_t wanted = 0;
    core::Millis wanted_at = -1;
    std::set<LoanName> borrowed;
  };
  struct Lent {
    std::string resource;
    std::string borrower;
    std::int64_t count = 0;
    core::Millis lapses_at = 0;
  };
  struct Borrowed {
    std::string resource;
    std::int64_t owner_incarnation = 0;
    std::int64_t count = 0;
    std::int64_t busy = 0;
    core::Millis ends_at = 0;
    core::Millis used_at = 0;
    bool recalled = false;
  };
  struct Hold {
    core::Millis free_at = 0;
    ShareUse use;
  };

  [[nodiscard]] auto OwnFree(const Resource& resource, core::Millis now) const
      -> std::int64_t;
  [[nodiscard]] auto MessageTo(const std::string& peer,
                               LedgerMessageType type) const -> LedgerSend;
  [[nodiscard]] auto ShouldGiveBack(const Borrowed& loan,
                                    core::Millis now) const -> bool;
  auto Free(const ShareUse& use, core::Millis now) -> void;
  auto DropLapsed(core::Millis now) -> void;
  auto GiveBackIdle(core::Millis now, std::vector<LedgerSend>& sends) -> void;
  auto AskForWanted(core::Millis now, std::vector<LedgerSend>& sends) -> void;
  auto SayHello(core::Millis now, std::vector<LedgerSend>& sends) const -> void;
  auto OnHello(const std::string& from, const LedgerMessage& message)
      -> std::vector<LedgerSend>;
  auto OnHelloAck(const std::string& from, const LedgerMessage& message)
      -> void;
  auto OnAsk(const std::string& from,
             const LedgerMessage& message,
             core::Millis now) -> std::vector<LedgerSend>;
  auto OnGrant(const std::string& from,
               const LedgerMessage& message,
               core::Millis now) -> void;
  auto OnGiveBack(const std::string& from, const LedgerMessage& message)
      -> void;
  auto OnRecall(const std::string& from, const LedgerMessage& message) -> void;

  LedgerSettings settings_;
  core::Millis started_at_;
  std::int64_t next_loan_;
  std::map<std::string, Resource> resources_;
  std::map<std::int64_t, Lent> lent_;
  /// Loans by owner and the owner's number.
  std::map<LoanName, Borrowed> borrowed_;
  std::vector<Hold> holds_;
  std::map<std::string, std::int64_t> peer_incarnations_;
  std::set<std::string> acknowledged_;
};

}  // namespace kcm::request
