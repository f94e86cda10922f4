#include "LibGang/gang.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <string>
#include <vector>

namespace kcm::gang {
namespace {

using platform::CommandOutcome;
using platform::LeaseCommand;
using platform::LeaseReport;
using platform::LeaseState;
using state::JobStatus;
using state::Recovery;

constexpr core::Millis kStart = 1000;

auto JobOf(Recovery recovery, std::size_t members) -> state::Job {
  state::Job job;
  job.id = "job-1";
  job.attempt = 1;
  job.spec.recovery = recovery;
  for (std::size_t i = 0; i < members; ++i) {
    const auto number = std::to_string(i);
    job.members.push_back({"worker-" + number, "rack", "lease-" + number, {0}});
  }
  return job;
}

template <typename Action>
auto FindAction(const GangActions& actions) -> const Action* {
  for (const auto& action : actions) {
    if (const auto* found = std::get_if<Action>(&action)) {
      return found;
    }
  }
  return nullptr;
}

auto CountCommands(const GangActions& actions, LeaseCommand command)
    -> std::size_t {
  std::size_t count = 0;
  for (const auto& action : actions) {
    const auto* found = std::get_if<CommandMember>(&action);
    count += found != nullptr && found->command == command ? 1 : 0;
  }
  return count;
}

/// @return a gang of two members whose tasks run.
auto StartedGang(Recovery recovery) -> Gang {
  auto gang = Gang::Assemble(JobOf(recovery, 2), {}, kStart);
  for (std::size_t i = 0; i < 2; ++i) {
    (void)gang.Apply(LeaseAnswered{i, CommandOutcome::kDone}, kStart);
  }
  (void)gang.Apply(CommitSettled{true}, kStart);
  for (std::size_t i = 0; i < 2; ++i) {
    (void)gang.Apply(MemberReported{i, {LeaseState::kRunning, ""}}, kStart);
  }
  return gang;
}

TEST(GangAssembly, StartsOnlyAfterTheCommit) {
  auto gang = Gang::Assemble(JobOf(Recovery::kNone, 2), {}, kStart);
  auto actions = gang.Apply(LeaseAnswered{0, CommandOutcome::kDone}, kStart);
  EXPECT_TRUE(actions.empty());
  actions = gang.Apply(LeaseAnswered{1, CommandOutcome::kDone}, kStart);
  EXPECT_NE(FindAction<CommitPlacement>(actions), nullptr);
  EXPECT_EQ(CountCommands(actions, LeaseCommand::kStart), 0U);
  actions = gang.Apply(CommitSettled{true}, kStart);
  EXPECT_EQ(CountCommands(actions, LeaseCommand::kStart), 0U);
  actions = gang.Apply(MemberReported{0, {LeaseState::kHeld, ""}}, kStart);
  EXPECT_EQ(CountCommands(actions, LeaseCommand::kStart), 0U);
  actions = gang.Apply(MemberReported{1, {LeaseState::kHeld, ""}}, kStart);
  EXPECT_EQ(CountCommands(actions, LeaseCommand::kStart), 2U);
}

TEST(GangAssembly, DoesNotStartOnStaleReports) {
  auto gang = Gang::Assemble(JobOf(Recovery::kNone, 2), {}, kStart);
  (void)gang.Apply(LeaseAnswered{0, CommandOutcome::kDone}, kStart);
  (void)gang.Apply(LeaseAnswered{1, CommandOutcome::kDone}, kStart);
  const auto late = kStart + 2000;
  EXPECT_TRUE(gang.Apply(CommitSettled{true}, late).empty());
  (void)gang.Apply(MemberReported{0, {LeaseState::kHeld, ""}}, late);
  const auto actions =
      gang.Apply(MemberReported{1, {LeaseState::kHeld, ""}}, late);
  EXPECT_EQ(CountCommands(actions, LeaseCommand::kStart), 2U);
}

TEST(GangAssembly, ReleasesAllLeasesWhenOneMemberRefuses) {
  auto gang = Gang::Assemble(JobOf(Recovery::kNone, 2), {}, kStart);
  (void)gang.Apply(LeaseAnswered{0, CommandOutcome::kDone}, kStart);
  const auto actions =
      gang.Apply(LeaseAnswered{1, CommandOutcome::kRefused}, kStart);
  EXPECT_EQ(CountCommands(actions, LeaseCommand::kStop), 1U);
  EXPECT_NE(FindAction<AbandonAssembly>(actions), nullptr);
}

/// How an attempt is closed after one member was lost.
struct LossCase {
  const char* name;
  Recovery recovery;
  bool started;
  const char* checkpoint;
  bool requeued;
};

class GangLoss : public testing::TestWithParam<LossCase> {};

TEST_P(GangLoss, StopsAllMembersAndClosesByRecovery) {
  const auto& param = GetParam();
  auto job = JobOf(param.recovery, 2);
  job.checkpoint = param.checkpoint;
  auto gang = Gang::Assemble(job, {}, kStart);
  (void)gang.Apply(LeaseAnswered{0, CommandOutcome::kDone}, kStart);
  (void)gang.Apply(LeaseAnswered{1, CommandOutcome::kDone}, kStart);
  (void)gang.Apply(CommitSettled{true}, kStart);
  if (param.started) {
    (void)gang.Apply(MemberReported{0, {LeaseState::kHeld, ""}}, kStart);
    (void)gang.Apply(MemberReported{1, {LeaseState::kHeld, ""}}, kStart);
  }
  auto actions = gang.Apply(MemberReported{0, {}}, kStart);
  EXPECT_EQ(CountCommands(actions, LeaseCommand::kStop), 2U);
  EXPECT_EQ(FindAction<RecordEnd>(actions), nullptr);
  (void)gang.Apply(StopAnswered{0, CommandOutcome::kRefused}, kStart);
  actions = gang.Apply(StopAnswered{1, CommandOutcome::kDone}, kStart);
  EXPECT_EQ(FindAction<RecordRequeue>(actions) != nullptr, param.requeued);
  EXPECT_EQ(FindAction<RecordEnd>(actions) != nullptr, !param.requeued);
  if (const auto* requeue = FindAction<RecordRequeue>(actions)) {
    EXPECT_EQ(requeue->started, param.started);
  }
}

INSTANTIATE_TEST_SUITE_P(
    Recoveries,
    GangLoss,
    testing::Values(
        LossCase{"none", Recovery::kNone, true, "", false},
        LossCase{"none_not_started", Recovery::kNone, false, "", true},
        LossCase{"restartable", Recovery::kRestartable, true, "", true},
        LossCase{"no_checkpoint", Recovery::kCheckpointable, true, "", false},
        LossCase{"checkpoint", Recovery::kCheckpointable, true, "[]", true},
        LossCase{"not_started", Recovery::kCheckpointable, false, "", true}),
    [](const auto& info) { return info.param.name; });

TEST(GangReclaim, ClosesWithinItsBoundWithoutAnswers) {
  const GangSettings settings;
  auto gang = StartedGang(Recovery::kRestartable);
  (void)gang.Apply(PreemptRequested{"job-2"}, kStart);
  auto closed_at = core::Millis{0};
  for (auto now = kStart; closed_at == 0 && now < kStart + 20000; now += 100) {
    for (std::size_t i = 0; i < 2; ++i) {
      if (gang.NeedsRenewal(i)) {
        (void)gang.Apply(RenewalSent{i}, now);
      }
    }
    const auto actions = gang.Apply(TimerTick{}, now);
    closed_at = FindAction<RecordRequeue>(actions) != nullptr ? now : 0;
  }
  ASSERT_NE(closed_at, 0);
  EXPECT_LE(closed_at - kStart, settings.reclaim_bound_ms);
}

TEST(GangReclaim, CheckpointsAndKeepsLeasesUntilTheRecordIsStored) {
  auto gang = StartedGang(Recovery::kCheckpointable);
  auto actions = gang.Apply(PreemptRequested{"job-2"}, kStart);
  EXPECT_EQ(CountCommands(actions, LeaseCommand::kThrottle), 2U);
  actions = gang.Apply(TimerTick{}, kStart + 500);
  EXPECT_EQ(CountCommands(actions, LeaseCommand::kCheckpoint), 2U);
  const auto now = kStart + 600;
  (void)gang.Apply(MemberReported{0, {LeaseState::kCheckpointed, "a"}}, now);
  actions =
      gang.Apply(MemberReported{1, {LeaseState::kCheckpointed, "b"}}, now);
  const auto* requeue = FindAction<RecordRequeue>(actions);
  ASSERT_NE(requeue, nullptr);
  EXPECT_EQ(requeue->checkpoint, R"(["a","b"])");
  EXPECT_TRUE(gang.NeedsRenewal(0));
}

TEST(GangReclaim, IgnoresPreemptionOfANonPreemptibleJob) {
  auto gang = StartedGang(Recovery::kNone);
  EXPECT_TRUE(gang.Apply(PreemptRequested{"job-2"}, kStart).empty());
  EXPECT_EQ(gang.phase(), GangPhase::kPlaced);
}

/// Any event that a task can send, with a random member.
auto AnyEvent(std::size_t members) -> GangEvent {
  const auto member = *rc::gen::inRange<std::size_t>(0, members);
  const auto outcome =
      *rc::gen::element(CommandOutcome::kDone, CommandOutcome::kRefused,
                        CommandOutcome::kUnknown, CommandOutcome::kNeverSent);
  const auto state = *rc::gen::element(
      LeaseState::kUnknown, LeaseState::kHeld, LeaseState::kRunning,
      LeaseState::kDone, LeaseState::kFailed, LeaseState::kCheckpointed);
  switch (*rc::gen::inRange(0, 8)) {
    case 0:
      return LeaseAnswered{member, outcome};
    case 1:
      return CommitSettled{*rc::gen::arbitrary<bool>()};
    case 2:
      return MemberReported{member, {state, "point"}};
    case 3:
      return StopAnswered{member, outcome};
    case 4:
      return CancelRequested{};
    case 5:
      return PreemptRequested{"job-2"};
    default:
      return TimerTick{};
  }
}

RC_GTEST_PROP(GangHistory, NeverStartsBeforeTheCommitNorAfterAStop, ()) {
  const auto recovery = *rc::gen::element(
      Recovery::kNone, Recovery::kCheckpointable, Recovery::kRestartable);
  constexpr std::size_t kMembers = 3;
  auto gang = Gang::Assemble(JobOf(recovery, kMembers), {}, kStart);
  bool committed = false;
  bool stopped = false;
  bool started = false;
  core::Millis now = kStart;
  for (int step = 0; step < 60; ++step) {
    now += *rc::gen::inRange(0, 800);
    const auto event = AnyEvent(kMembers);
    const auto* settled = std::get_if<CommitSettled>(&event);
    committed = committed || (gang.phase() == GangPhase::kCommitting &&
                              settled != nullptr && settled->accepted);
    for (const auto& action : gang.Apply(event, now)) {
      if (const auto* command = std::get_if<CommandMember>(&action)) {
        const bool starts = command->command == LeaseCommand::kStart;
        RC_ASSERT(!starts || (committed && !stopped));
        started = started || starts;
        stopped = stopped || command->command == LeaseCommand::kStop;
      }
      if (const auto* requeue = std::get_if<RecordRequeue>(&action)) {
        RC_ASSERT(requeue->started || !started);
        RC_ASSERT(recovery != Recovery::kNone || !requeue->started);
      }
      RC_ASSERT(std::get_if<AbandonAssembly>(&action) == nullptr || !committed);
    }
  }
}

}  // namespace
}  // namespace kcm::gang
