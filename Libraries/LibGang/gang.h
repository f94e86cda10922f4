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

/// Where an attempt of a gang stands.
enum class GangPhase : std::uint8_t {
  /// Takes its leases; nothing runs.
  kAcquiring,
  /// Holds all leases and waits for the fold's verdict on the placement.
  kCommitting,
  /// The log has the placement; members are started and watched.
  kPlaced,
  /// Being preempted: throttled, then checkpointed.
  kReclaiming,
  /// All members were told to stop; waits until none can run.
  kStopping,
  /// Nothing runs; the record that closes the attempt is on its way.
  kClosing,
};

/// One attempt of one gang, from its leases to the record that closes it.
///
/// Pure: Apply() takes an event with the monotonic time and returns what the
/// task has to do. The record that closes an attempt is asked for only when
/// no member can run any more, so that whoever reads it may start the next.
class Gang {
 public:
  /// Makes a gang that has just asked its members for leases.
  /// @param job the waiting job with attempt and members of the new attempt.
  [[nodiscard]] static auto Assemble(state::Job job,
                                     const GangSettings& settings,
                                     core::Millis now) -> Gang;

  /// Takes over a gang that a former term placed.
  [[nodiscard]] static auto Adopt(state::Job job,
                                  const GangSettings& settings,
                                  core::Millis now) -> Gang;

  /// Applies one event.
  /// @param now monotonic time, never lower than that of a former call.
  [[nodiscard]] auto Apply(const GangEvent& event, core::Millis now)
      -> GangActions;

  [[nodiscard]] auto phase() const -> GangPhase { return phase_; }
  [[nodiscard]] auto job() const -> const state::Job& { return job_; }

  /// @return whether a member's lease has to be kept alive.
  [[nodiscard]] auto WantsRenewal(std::size_t member) const -> bool;

  /// @return the checkpoint that a member resumes from; empty for none.
  [[nodiscard]] auto CheckpointOf(std::size_t member) const -> std::string;

  /// @return span since the preemption; nothing when there was none.
  [[nodiscard]] auto ReclaimSpan(core::Millis now) const
      -> std::optional<core::Millis>;

 private:
  struct SentCommand {
    platform::LeaseCommand command = platform::LeaseCommand::kStop;
    core::Millis sent_at = 0;
  };
  /// What is known of one member.
  struct MemberState {
    bool granted = false;
    bool refused = false;
    /// Reported or granted in this term.
    bool heard = false;
    core::Millis heard_at = 0;
    /// Latest time at which anyone may have renewed the lease.
    core::Millis renewed_at = 0;
    std::optional<SentCommand> last_command;
    platform::LeaseReport report;
    /// Can run no more: stopped, refused or surely lapsed.
    bool gone = false;
  };

  Gang(state::Job job, const GangSettings& settings, core::Millis now);

  auto On(const LeaseAnswered& event, core::Millis now) -> void;
  auto On(const CommitSettled& event, core::Millis now) -> void;
  auto On(const RenewalSent& event, core::Millis now) -> void;
  auto On(const MemberReported& event, core::Millis now) -> void;
  auto On(const StopAnswered& event, core::Millis now) -> void;
  auto On(const CancelRequested& event, core::Millis now) -> void;
  auto On(const PreemptRequested& event, core::Millis now) -> void;
  auto On(const CloseRefused& event, core::Millis now) -> void;
  auto On(const TimePassed& /*event*/, core::Millis /*now*/) -> void {}

  /// Goes on as far as what is known allows.
  auto Advance(core::Millis now) -> void;
  auto AdvanceAcquiring(core::Millis now) -> void;
  auto AdvancePlaced(core::Millis now) -> void;
  auto AdvanceReclaiming(core::Millis now) -> void;
  auto AdvanceStopping(core::Millis now) -> void;

  /// @return the reason why the gang cannot go on, or an empty text.
  [[nodiscard]] auto FindBreak(core::Millis now) const -> std::string;
  [[nodiscard]] auto FindFailedWorker() const -> std::string;
  [[nodiscard]] auto CountIn(platform::LeaseState state) const -> std::size_t;
  [[nodiscard]] auto JoinCheckpoints() const -> std::string;
  auto StartHeldMembers(core::Millis now) -> void;
  auto StopAll(GangAction closing, core::Millis now) -> void;
  auto Interrupt(const std::string& reason, core::Millis now) -> void;
  auto Close(GangAction closing) -> void;
  auto CommandOnce(std::size_t member,
                   platform::LeaseCommand command,
                   core::Millis now) -> void;
  /// @return how an interrupted attempt is closed by the job's recovery.
  [[nodiscard]] auto ClosingFor(const std::string& reason) const -> GangAction;

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
  /// Members keep their leases until the closing record stands.
  bool keep_leases_ = false;
  GangActions actions_;
};

}  // namespace kcm::gang
