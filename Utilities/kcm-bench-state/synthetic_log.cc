#include "synthetic_log.h"

#include <vector>

#include "LibCore/identity.h"
#include "LibState/cell_fold.h"
#include "LibState/fleet.h"
#include "LibState/job.h"

namespace kcm::bench {

namespace {

constexpr std::int64_t kWorkersPerRack = 8;
constexpr std::int64_t kAccelerators = 8;
constexpr std::int64_t kCores = 32;
constexpr std::int64_t kMemoryMb = 131072;
constexpr char kDataCentre[] = "hobart-a";
constexpr char kWriter[] = "entry-1/scheduler";

auto MakeSyntheticRecord(state::RecordKind kind, core::Json body)
    -> state::Record {
  return state::MakeRecord(kind, kWriter, std::move(body));
}

auto JobId(std::int64_t index) -> std::string {
  return "job-" + core::Sha256Hex(std::to_string(index)).substr(0, 32);
}

auto AccountName(std::int64_t index) -> std::string {
  return "account-" + std::to_string(index);
}

}  // namespace

auto FleetRecord(std::int64_t workers) -> state::Record {
  state::Fleet fleet;
  for (std::int64_t i = 0; i < workers; ++i) {
    fleet.workers.push_back({"worker-" + std::to_string(i), kDataCentre,
                             "rack-" + std::to_string(i / kWorkersPerRack),
                             kCores, kMemoryMb, kAccelerators});
  }
  return MakeSyntheticRecord(state::RecordKind::kFleetRecorded, fleet);
}

auto RowRecord(std::int64_t index, std::int64_t version) -> state::Record {
  state::AccountRow row;
  row.account = AccountName(index);
  row.version = version;
  row.token_sha256 = core::Sha256Hex(row.account);
  state::Guarantee guarantee;
  guarantee.data_centre = kDataCentre;
  guarantee.shape.members = 2;
  guarantee.shape.accelerators = kAccelerators;
  row.guarantees.push_back(guarantee);
  return MakeSyntheticRecord(state::RecordKind::kRowEdited, row);
}

auto TermRecord() -> state::Record {
  return MakeSyntheticRecord(state::RecordKind::kTermClaimed,
                             state::Term{1, kWriter});
}

auto SubmittedRecord(std::int64_t index) -> state::Record {
  state::JobSpec spec;
  spec.account = AccountName(index % 96);
  spec.data_centre = kDataCentre;
  spec.shape.members = 2;
  spec.shape.accelerators = kAccelerators;
  spec.task = {{"run_ms", 3600000}, {"command", "simulate --blend 7"}};
  return MakeSyntheticRecord(state::RecordKind::kJobSubmitted,
                             {{"job", JobId(index)}, {"spec", spec}});
}

auto PlacedRecord(std::int64_t index, std::int64_t members) -> state::Record {
  std::vector<state::Member> placed;
  for (std::int64_t i = 0; i < members; ++i) {
    const auto worker = index * members + i;
    placed.push_back({"worker-" + std::to_string(worker),
                      "rack-" + std::to_string(worker / kWorkersPerRack),
                      core::MakeId("lease"),
                      {0, 1, 2, 3, 4, 5, 6, 7}});
  }
  return MakeSyntheticRecord(state::RecordKind::kJobPlaced,
                             {{"job", JobId(index)},
                              {"attempt", 1},
                              {"term", 1},
                              {"members", placed}});
}

auto EndedRecord(std::int64_t index) -> state::Record {
  return MakeSyntheticRecord(state::RecordKind::kJobEnded,
                             {{"job", JobId(index)},
                              {"attempt", 1},
                              {"term", 1},
                              {"status", state::JobStatus::kDone},
                              {"reason", ""}});
}

}  // namespace kcm::bench
