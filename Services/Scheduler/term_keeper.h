#pragma once

#include <string>

#include "LibNode/heartbeats.h"
#include "LibNode/log_follower.h"
#include "LibNode/node.h"
#include "LibState/cell_fold.h"

namespace kcm::scheduler {

/// Claims and watches the scheduler term of one data centre.
class TermKeeper {
 public:
  TermKeeper(node::Node& node,
             node::Heartbeats& heartbeats,
             const node::LogFollower& follower,
             std::string data_centre);

  /// Looks at the clock and claims the term when this process should.
  auto Tick() -> void;

  /// Claims no further term.
  auto Resign() -> void { resigned_ = true; }

  /// @return whether the log names this process as the holder.
  [[nodiscard]] auto Leads() const -> bool;

  /// @return whether an outward act is safe now: this process leads, did not
  ///     just wake from a pause, and its log position was confirmed lately.
  [[nodiscard]] auto MayAct() const -> bool;

  /// @return whether this process keeps the leases of a dead holder alive
  ///     because the log takes no claim.
  [[nodiscard]] auto RenewsForHolder() const -> bool;

  [[nodiscard]] auto number() const -> std::int64_t;

 private:
  [[nodiscard]] auto cell() const -> const state::CellFold&;
  [[nodiscard]] auto ShouldClaim() const -> bool;
  auto WatchClock() -> void;
  auto Claim() -> void;

  node::Node& node_;
  node::Heartbeats& heartbeats_;
  const node::LogFollower& follower_;
  std::string data_centre_;
  core::Millis settled_since_;
  core::Millis ticked_at_;
  /// Acts are withheld until this time after a pause.
  core::Millis held_until_ = 0;
  core::Millis claiming_since_ = 0;
  bool claiming_ = false;
  bool resigned_ = false;
};

}  // namespace kcm::scheduler
