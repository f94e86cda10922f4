#include "scale.h"

#include <malloc.h>

#include <algorithm>
#include <array>
#include <chrono>

#include "LibCore/check.h"
#include "LibSchedule/planner.h"
#include "simulation.h"
#include "workload.h"

namespace kcm::bench {

namespace {

constexpr std::array kSizes = {50, 500, 2000, 8000, 20000};
/// One of this many racks has accelerators.
constexpr int kRacksPerAcceleratorRack = 5;
constexpr std::int64_t kTasksPerWorker = 13;
constexpr std::int64_t kFillerMembers = 8;
constexpr int kAccounts = 96;
constexpr int kSamples = 300;

/// @return bytes in use on the heap.
auto HeapBytes() -> double {
  const auto info = mallinfo2();
  return static_cast<double>(info.uordblks + info.hblkhd);
}

auto MakeFleet(int workers) -> state::Fleet {
  state::Fleet fleet;
  for (int i = 0; i < workers; ++i) {
    const auto rack = i / kWorkersPerRack;
    const bool has_accelerators = rack % kRacksPerAcceleratorRack == 0;
    fleet.workers.push_back({"worker-" + std::to_string(100000 + i), "a",
                             "rack-" + std::to_string(10000 + rack), 64, 262144,
                             has_accelerators ? 8 : 0});
  }
  return fleet;
}

auto MakeRows(int accounts) -> std::map<std::string, state::AccountRow> {
  std::map<std::string, state::AccountRow> rows;
  for (int i = 0; i < accounts; ++i) {
    state::AccountRow row;
    row.account = "account-" + std::to_string(i);
    row.accelerators = 1000000;
    row.guarantees = {{"a", 1, {2, 8, 8, 8192, state::Adjacency::kSameRack}}};
    rows[row.account] = row;
  }
  return rows;
}

auto MakeJob(const std::string& id,
             const std::string& account,
             const state::Shape& shape) -> state::Job {
  state::Job job;
  job.id = id;
  job.spec.account = account;
  job.spec.shape = shape;
  job.spec.recovery = state::Recovery::kRestartable;
  job.spec.declared_run_ms = 3600000;
  return job;
}

auto ConfirmPlacement(schedule::Planner& planner,
                      state::Job& job,
                      std::vector<schedule::Action> actions) -> void {
  KCM_CHECK(actions.size() == 1);
  auto& place = std::get<schedule::PlaceGang>(actions.front());
  job.attempt = place.attempt;
  job.members = std::move(place.members);
  planner.JobPlaced(job, 1);
}

/// Places and ends gangs.
/// @return microseconds of each placement decision.
auto TimeDecisions(schedule::Planner& planner,
                   const state::Shape& shape,
                   int samples) -> std::vector<double> {
  std::vector<double> micros;
  for (int i = 0; i < samples; ++i) {
    auto job = MakeJob("timed-" + std::to_string(i),
                       "account-" + std::to_string(i % 2), shape);
    const auto start = std::chrono::steady_clock::now();
    planner.JobWaiting(job, 1);
    auto actions = planner.Plan(1);
    const std::chrono::duration<double, std::micro> elapsed =
        std::chrono::steady_clock::now() - start;
    micros.push_back(elapsed.count());
    ConfirmPlacement(planner, job, std::move(actions));
    job.status = state::JobStatus::kCancelled;
    planner.JobEnded(job, "", 1);
  }
  return micros;
}

auto MeasureSize(int workers) -> core::Json {
  const auto fleet = MakeFleet(workers);
  const auto empty = HeapBytes();
  schedule::Planner planner({}, "a");
  planner.SetFleet(fleet);
  const auto accounts = std::clamp(workers / 100, 2, kAccounts);
  planner.SetRows(MakeRows(workers >= 200 ? accounts : 0));
  auto ignored = planner.Plan(1);
  const auto with_fleet = HeapBytes();
  const state::Shape filler{kFillerMembers, 0, 1, 1024,
                            state::Adjacency::kSameRack};
  std::int64_t tasks = 0;
  for (int i = 0; tasks < workers * kTasksPerWorker; ++i) {
    auto job = MakeJob("filler-" + std::to_string(i),
                       "account-" + std::to_string(i % accounts), filler);
    planner.JobWaiting(job, 1);
    ConfirmPlacement(planner, job, planner.Plan(1));
    tasks += kFillerMembers;
  }
  const auto with_tasks = HeapBytes();
  std::int64_t accelerators = 0;
  for (const auto& worker : fleet.workers) {
    accelerators += worker.accelerators;
  }
  const auto gang = std::min<std::int64_t>(1024, accelerators / 2);
  const auto single = TimeDecisions(
      planner, {1, 1, 1, 1024, state::Adjacency::kSameWorker}, kSamples);
  const auto large = TimeDecisions(
      planner, {gang, 1, 1, 1024, state::Adjacency::kAnywhere}, kSamples);
  return {{"workers", workers},
          {"accelerators", accelerators},
          {"tasks", tasks},
          {"gang_members", gang},
          {"single_p50_us", Percentile(single, 0.5)},
          {"single_p99_us", Percentile(single, 0.99)},
          {"gang_p50_us", Percentile(large, 0.5)},
          {"gang_p99_us", Percentile(large, 0.99)},
          {"bytes_per_worker", (with_fleet - empty) / workers},
          {"bytes_per_task",
           (with_tasks - with_fleet) / static_cast<double>(tasks)}};
}

}  // namespace

auto MeasureScale() -> core::Json {
  auto sizes = core::Json::array();
  for (const auto workers : kSizes) {
    sizes.push_back(MeasureSize(workers));
  }
  return sizes;
}

}  // namespace kcm::bench
