#include "LibDispatch/crash_evidence.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "LibCore/json.h"
#include "LibDispatch/job_table.h"

namespace kcm::dispatch {
namespace {

auto RunOf(const std::string& job, core::Millis survived, bool is_suspect)
    -> RunAtCrash {
  return {{job, 0, 0, 0}, 1, survived, is_suspect};
}

struct CrashCase {
  const char* name;
  std::vector<RunAtCrash> runs;
  bool is_weak;
  std::vector<Implication> implications;
};

class CrashJudgement : public testing::TestWithParam<CrashCase> {};

// Guards against a deadly task that goes unnoticed in company, and good tasks
// that are given up for the crashes of others.
TEST_P(CrashJudgement, NamesTheCandidates) {
  EXPECT_EQ(JudgeCrash(GetParam().runs, GetParam().is_weak),
            GetParam().implications);
}

INSTANTIATE_TEST_SUITE_P(
    Cases,
    CrashJudgement,
    testing::Values(
        CrashCase{"NoRuns", {}, false, {}},
        CrashCase{"Alone",
                  {RunOf("a", 100, false)},
                  false,
                  {Implication::kOnlyCandidate}},
        CrashCase{"AloneOnACrashLoopingWorker",
                  {RunOf("a", 100, true)},
                  true,
                  {Implication::kCandidate}},
        CrashCase{"TwoYoung",
                  {RunOf("a", 100, false), RunOf("b", 900, false)},
                  false,
                  {Implication::kCandidate, Implication::kCandidate}},
        CrashCase{"YoungBesideSettled",
                  {RunOf("a", 100, false), RunOf("b", 4000, false)},
                  false,
                  {Implication::kOnlyCandidate, Implication::kPresent}},
        CrashCase{"YoungBesideASettledSuspect",
                  {RunOf("a", 100, false), RunOf("b", 4000, true)},
                  false,
                  {Implication::kCandidate, Implication::kCandidate}},
        CrashCase{"YoungSuspectBesideASettledOne",
                  {RunOf("a", 100, true), RunOf("b", 4000, true)},
                  false,
                  {Implication::kOnlyCandidate, Implication::kPresent}},
        CrashCase{"MembersOfOneGang",
                  {RunOf("a", 100, true), RunOf("a", 100, true)},
                  false,
                  {Implication::kOnlyCandidate, Implication::kOnlyCandidate}},
        CrashCase{"LongProven",
                  {RunOf("a", 11000, true)},
                  false,
                  {Implication::kNone}}),
    [](const auto& info) { return info.param.name; });

auto TableWithEvidence(const CrashEvidence& evidence) -> JobTable {
  JobTable table;
  JobSpec spec;
  spec.id = "job";
  spec.steps = {StepSpec{}};
  auto& job = table.AddJob(spec);
  job.steps[0].tasks[0].attempt = 2;
  job.steps[0].tasks[0].crash_evidence = evidence;
  table.StoreTask(job, job.steps[0], 0);
  return table;
}

auto Loaded(const std::vector<StateRow>& rows) -> Job {
  JobTable table;
  table.Load(rows, [](const std::string& key, const core::Reason& reason) {
    ADD_FAILURE() << key << " " << reason.message;
  });
  return *table.FindJob("job");
}

// Guards against crashes that a new holder does not know of.
TEST(CrashEvidence, OutlivesItsRow) {
  auto table = TableWithEvidence({3, 2, 1, 2});
  const auto job = Loaded(table.TakeRows());
  const auto& evidence = job.steps[0].tasks[0].crash_evidence;
  EXPECT_EQ(evidence.crashes, 3);
  EXPECT_EQ(evidence.as_candidate, 2);
  EXPECT_EQ(evidence.as_only_candidate, 1);
  EXPECT_EQ(evidence.attempt, 2);
  EXPECT_TRUE(job.has_crash_evidence);
  EXPECT_TRUE(job.has_only_candidate);
}

// Guards against state of earlier versions that is not read, or read wrongly by
// them.
TEST(CrashEvidence, IsNotInTheRowOfATaskWithoutAny) {
  auto table = TableWithEvidence({});
  const auto rows = table.TakeRows();
  constexpr std::size_t kEarlierElements = 7;
  EXPECT_EQ(core::Json::from_msgpack(rows.back().value).size(),
            kEarlierElements);
  const auto job = Loaded(rows);
  EXPECT_EQ(job.steps[0].tasks[0].attempt, 2);
  EXPECT_FALSE(job.has_crash_evidence);
}

}  // namespace
}  // namespace kcm::dispatch
