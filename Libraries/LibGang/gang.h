#pragma once

#include <optional>
#include <string>
#include <vector>

#include "LibCore/clock.h"
#include "LibGang/gang_action.h"
#include "LibGang/gang_event.h"
#include "LibGang/gang_settings.h"
#include "LibState/job.h"

namespace kcm::gang {

/// Phase of one attempt of a gang.
enum class GangPhase : std::uint8_t {
  /// Acquires its leases; nothing runs.
  kAcquiring,
  /// Holds all leases and waits until the log accepts or rejects the placement
  /// record.
  kCommitting,
  /// The log accepted the placement; members are started and monitored.
  kPlaced,
  /// Being preempted, for whichever job: the tasks are throttled (their workers
  /// slow them down), then checkpointed.
  kPreempting,
  /// All members are commanded to stop; waits until none can run.
  kStopping,
  /// Nothing runs; the record that closes the attempt is being appended.
  kClosing,
};

/// One attempt of one gang, from its leases to the record that closes it.
///
/// Runs the protocol with the workers and the log; schedule::Gang is what the
/// planner counts as occupied. A lease is a worker's grant of resources to one
/// member until it expires; renewals extend it.
///
/// Does no I/O and reads no clock: Apply() takes an event with the monotonic
/// time and returns actions for the caller to carry out. The record that closes
/// an attempt is appended only when no member can run any more, so that its
/// readers may start the next one.
class Gang {
 public:
  /// Makes a gang whose leases were just requested.
  /// @param job the waiting job with attempt and members of the new attempt.
  [[nodiscard]] static auto Assemble(state::Job job,
                                     const GangSettings& settings,
                                     core::Millis now) -> Gang;

  /// Makes a gang that a scheduler of an earlier term placed; its members may
  /// be running.
  [[nodiscard]] static auto Adopt(state::Job job,
                                  const GangSettings& settings,
                                  core::Millis now) -> Gang;

  /// @param now monotonic time, not lower than in earlier calls.
  [[nodiscard]] auto Apply(const GangEvent& event, core::Millis now)
      -> GangActions;

  [[nodiscard]] auto phase() const -> GangPhase { return phase_; }
  [[nodiscard]] auto job() const -> const state::Job& { return job_; }

  /// @return whether a member's lease is to be renewed at all in this phase;
  ///     the caller chooses the interval.
  [[nodiscard]] auto NeedsRenewal(std::size_t member) const -> bool;

  /// @return the checkpoint that a member resumes from; empty for none.
  [[nodiscard]] auto CheckpointOf(std::size_t member) const -> std::string;

  /// @return time since the preemption began; nothing when there was none.
  [[nodiscard]] auto PreemptionDuration(core::Millis now) const
      -> std::optional<core::Millis>;

 private:
  struct SentCommand {
    platform::LeaseCommand command = platform::LeaseCommand::kStop;
    core::Millis sent_at = 0;
  };
  struct MemberState {
    bool granted = false;
    bool refused = false;
    /// Reported or granted since the last commit.
    bool reported = false;
    core::Millis last_report_at = 0;
    /// Latest time at which any term holder may have renewed the lease.
    core::Millis renewed_at = 0;
    std::optional<SentCommand> last_command;
    platform::LeaseReport report;
    /// Can run no more: stopped, refused or certainly expired.
    bool cannot_run = false;
  };

  Gang(state::Job job, const GangSettings& settings, core::Millis now);

  auto HandleEvent(const LeaseAnswered& event, core::Millis now) -> void;
  auto HandleEvent(const CommitSettled& event, core::Millis now) -> void;
  auto HandleEvent(const RenewalSent& event, core::Millis now) -> void;
  auto HandleEvent(const MemberReported& event, core::Millis now) -> void;
  auto HandleEvent(const StopAnswered& event, core::Millis now) -> void;
  auto HandleEvent(const CancelRequested& event, core::Millis now) -> void;
  auto HandleEvent(const PreemptRequested& event, core::Millis now) -> void;
  auto HandleEvent(const CloseRefused& event, core::Millis now) -> void;
  auto HandleEvent(const TimerTick& /*event*/, core::Millis /*now*/) -> void {}

  /// Makes the transitions that the known state allows.
  auto Advance(core::Millis now) -> void;
  auto AdvanceAcquiring(core::Millis now) -> void;
  auto AdvancePlaced(core::Millis now) -> void;
  auto AdvanceReclaiming(core::Millis now) -> void;
  auto AdvanceStopping(core::Millis now) -> void;

  /// @return why the gang is broken, or an empty text.
  [[nodiscard]] auto FindBreakReason(core::Millis now) const -> std::string;
  [[nodiscard]] auto FindFailedWorker() const -> std::string;
  [[nodiscard]] auto CountMembersIn(platform::LeaseState state) const
      -> std::size_t;
  [[nodiscard]] auto JoinCheckpoints() const -> std::string;
  auto StartHeldMembers(core::Millis now) -> void;
  auto StopAll(GangAction closing, core::Millis now) -> void;
  auto Interrupt(const std::string& reason, core::Millis now) -> void;
  auto CloseAttempt(GangAction closing) -> void;
  auto SendCommandOnce(std::size_t member,
                       platform::LeaseCommand command,
                       core::Millis now) -> void;
  /// @return the action that closes an interrupted attempt.
  [[nodiscard]] auto ClosingActionFor(const std::string& reason) const
      -> GangAction;

  state::Job job_;
  GangSettings settings_;
  GangPhase phase_ = GangPhase::kAcquiring;
  std::vector<MemberState> members_;
  bool may_have_started_ = false;
  bool throttled_ = false;
  bool cancelled_ = false;
  std::optional<core::Millis> reclaim_since_;
  std::string beneficiary_;
  std::optional<GangAction> closing_;
  /// Members keep their leases until the closing record is stored.
  bool keep_leases_ = false;
  GangActions actions_;
};

}  // namespace kcm::gang
