// Lease rows: durable bounds on the leases of workers that do not answer.

#include <algorithm>
#include <set>

#include "LibDispatch/dispatcher.h"
#include "LibDispatch/lease_row.h"

namespace kcm::dispatch {

auto Dispatcher::PlacedIncarnations() const
    -> std::map<std::string, std::int64_t> {
  std::map<std::string, std::int64_t> incarnations;
  for (const auto& [id, job] : job_table_.live_jobs()) {
    for (const auto& step : job->steps) {
      for (const auto& task : step.tasks) {
        if (task.phase == TaskPhase::kPlaced) {
          auto& newest = incarnations[task.worker];
          newest = std::max(newest, task.incarnation);
        }
      }
    }
  }
  return incarnations;
}

auto Dispatcher::AddLeaseBound(core::Millis span,
                               const ClockWitnesses& witnesses)
    -> std::shared_ptr<const FormerLeaseBound> {
  const auto bound = std::make_shared<FormerLeaseBound>(former_leases_.read_at,
                                                        span, witnesses);
  for (const auto& witness : witnesses) {
    bounds_by_witness_.emplace(witness.worker, bound);
  }
  return bound;
}

auto Dispatcher::ObserveWitness(const std::string& worker,
                                const PollReport& report,
                                ClockReading now) -> void {
  const auto [first, last] = bounds_by_witness_.equal_range(worker);
  for (auto bound = first; bound != last; ++bound) {
    bound->second->Observe(worker, report.incarnation, report.clock_ms,
                           now.steady);
  }
  bounds_by_witness_.erase(first, last);
}

auto Dispatcher::FindWitnesses(ClockReading now) const -> ClockWitnesses {
  ClockWitnesses witnesses;
  std::set<std::string> racks;
  for (const auto needs_own_rack : {true, false}) {
    for (const auto& [id, session] : sessions_) {
      if (witnesses.size() >= kMaxClockWitnesses) {
        return witnesses;
      }
      const auto is_of_new_rack = !racks.contains(session.info().rack);
      const auto witness = is_of_new_rack == needs_own_rack
                               ? session.WitnessOf(now.steady)
                               : std::nullopt;
      if (witness && std::find(witnesses.begin(), witnesses.end(), *witness) ==
                         witnesses.end()) {
        racks.insert(session.info().rack);
        witnesses.push_back(*witness);
      }
    }
  }
  return witnesses;
}

auto Dispatcher::LoadLeaseRows(const std::vector<StateRow>& rows) -> void {
  const auto placed = PlacedIncarnations();
  for (const auto& row : rows) {
    if (!IsLeaseRow(row)) {
      continue;
    }
    core::Reason reason;
    const auto lease = DecodeLeaseRow(row, reason);
    if (!lease) {
      RecordDecision(core::Event::kRecordRejected,
                     {{"key", row.key}, {"reason", reason.message}});
      lease_rows_.push_back({row.key, ""});
      continue;
    }
    const auto found = placed.find(lease->worker);
    const auto placed_incarnation = found == placed.end() ? 0 : found->second;
    const auto is_bound = lease->series == former_leases_.series &&
                          lease->incarnation >= placed_incarnation;
    WorkerInfo info;
    info.id = lease->worker;
    info.incarnation = is_bound ? lease->incarnation : placed_incarnation;
    if (is_bound) {
      info.address = lease->address;
    }
    const auto bound =
        is_bound ? AddLeaseBound(lease->remaining_ms, lease->witnesses)
                 : common_bound_;
    auto& session = sessions_.try_emplace(lease->worker, info, settings_, bound)
                        .first->second;
    session.SetListed(false);
    session.AdoptLeaseRow(former_leases_.read_at);
  }
}

auto Dispatcher::UpdateLeaseRow(const std::string& worker,
                                WorkerSession& session,
                                bool may_write,
                                ClockReading now) -> void {
  const auto change = session.TakeLeaseRowChange(now.steady, next_batch_,
                                                 may_write, fleet_known_);
  if (!change) {
    return;
  }
  call_schedule_.SetDueNow(worker);
  if (!change->remaining_ms) {
    lease_rows_.push_back(DeletedLeaseRow(worker));
    return;
  }
  lease_rows_.push_back(EncodeLeaseRow(
      {worker, session.info().incarnation, *change->remaining_ms,
       former_leases_.series, FindWitnesses(now), session.info().address}));
}

}  // namespace kcm::dispatch
