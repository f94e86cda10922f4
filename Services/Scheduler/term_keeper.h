#pragma once

#include <string>

#include "LibNode/heartbeats.h"
#include "LibNode/log_follower.h"
#include "LibNode/node.h"
#include "LibState/cell_fold.h"

namespace kcm::scheduler {

/// Claims and tracks the scheduler term of one data centre: the period in which
/// one scheduler places its jobs. A term begins with a claim in the log and
/// ends with the next one; its number fences the commands of earlier holders.
class TermKeeper {
 public:
  TermKeeper(node::Node& node,
             node::Heartbeats& heartbeats,
             const node::LogFollower& follower,
             std::string data_centre);

  /// Detects pauses of this process; claims the term when it should.
  auto MaintainTerm() -> void;

  /// Gives up the term and claims no other.
  auto Resign() -> void { resigned_ = true; }

  /// @return whether the log names this process as the term holder and it has
  ///     not resigned.
  [[nodiscard]] auto HoldsTerm() const -> bool;

  /// @return whether commands are safe now: this process holds the term, did
  ///     not just resume from a pause, and its log position was confirmed
  ///     recently.
  [[nodiscard]] auto MayIssueCommands() const -> bool;

  /// @return whether this process must renew the leases of a dead term holder
  ///     because the log accepts no claim.
  [[nodiscard]] auto ShouldRenewForHolder() const -> bool;

  /// @return the number of the current term, whichever process holds it.
  [[nodiscard]] auto number() const -> std::int64_t;

 private:
  [[nodiscard]] auto cell() const -> const state::CellFold&;
  [[nodiscard]] auto ShouldClaim() const -> bool;
  auto DetectPause() -> void;
  auto ClaimTerm() -> void;

  node::Node& node_;
  node::Heartbeats& heartbeats_;
  const node::LogFollower& follower_;
  std::string data_centre_;
  core::Millis running_since_;
  core::Millis maintained_at_;
  /// After a pause, MayIssueCommands() is false until this time.
  core::Millis commands_withheld_until_ = 0;
  core::Millis claims_unanswered_since_ = 0;
  bool claim_in_flight_ = false;
  bool resigned_ = false;
};

}  // namespace kcm::scheduler
