// Which waiting work gets which room.

#include <algorithm>
#include <utility>

#include "LibDispatch/dispatcher.h"

namespace kcm::dispatch {

namespace {

/// Pause between two plans while nothing changes.
constexpr core::Millis kPlanPeriodMs = 250;
/// Room that is being made for guaranteed work is given this long.
constexpr core::Millis kEvictionMs = 800;
/// Room that opens by itself within this span, about as long as a stop takes,
/// is waited for.
constexpr core::Millis kNaturalEndMs = 300;
/// Gangs for which room is kept at the same time.
constexpr int kMaxReservations = 2;
/// Weight of an accelerator against a core in work that is thrown away.
constexpr double kCoresPerAccelerator = 8;
constexpr double kMillicoresPerCore = 1000;

auto WeightOf(const Resources& demand) -> double {
  return static_cast<double>(demand.millicores) / kMillicoresPerCore +
         kCoresPerAccelerator * static_cast<double>(demand.accelerators);
}

}  // namespace

auto Dispatcher::Plan(Moment now) -> void {
  next_plan_at_ = now.steady + kPlanPeriodMs;
  const auto covered = CoveredJobs();
  auto units = WaitingUnits(covered, now);
  if (units.empty()) {
    return;
  }
  auto fleet = ViewFleet(covered, now);
  if (fleet.slots.empty()) {
    return;
  }
  std::stable_sort(units.begin(), units.end(),
                   [](const Unit& left, const Unit& right) {
                     return left.rank < right.rank;
                   });
  int reservations = 0;
  for (auto& unit : units) {
    PlanUnit(unit, fleet, reservations, now);
  }
}

auto Dispatcher::CoveredJobs() const -> std::map<std::string, bool> {
  std::vector<const Job*> urgent;
  for (const auto& [id, job] : book_.jobs()) {
    if (!IsEnded(job.phase) && PolicyOf(job).priority == 0) {
      urgent.push_back(&job);
    }
  }
  std::stable_sort(urgent.begin(), urgent.end(),
                   [](const Job* left, const Job* right) {
                     return left->spec.accepted_at < right->spec.accepted_at;
                   });
  std::map<std::string, std::int64_t> used;
  std::map<std::string, bool> covered;
  for (const auto* job : urgent) {
    std::int64_t need = 0;
    for (const auto& step : job->spec.steps) {
      need = std::max(need, step.tasks * step.demand.accelerators);
    }
    const auto guarantee = guarantees_.find(job->spec.account);
    auto& sum = used[job->spec.account];
    if (guarantee != guarantees_.end() && sum + need <= guarantee->second) {
      sum += need;
      covered[job->spec.id] = true;
    }
  }
  return covered;
}

auto Dispatcher::WaitingUnits(const std::map<std::string, bool>& covered,
                              Moment now) -> std::vector<Unit> {
  std::vector<Unit> units;
  for (auto& [id, job] : book_.jobs()) {
    if (IsEnded(job.phase)) {
      continue;
    }
    std::map<std::int64_t, JobRank> ranks;
    for (auto& step : job.steps) {
      if (step.done == static_cast<std::int64_t>(step.tasks.size()) ||
          now.wall < step.due_at || !job.IsUnlocked(step)) {
        continue;
      }
      Unit unit{&job, &step, {}, {}};
      for (std::size_t index = 0; index < step.tasks.size(); ++index) {
        if (step.tasks[index].phase == TaskPhase::kWaiting) {
          unit.tasks.push_back(index);
        }
      }
      if (unit.tasks.empty() ||
          (job.SpecOf(step).gang && unit.tasks.size() < step.tasks.size())) {
        continue;
      }
      auto rank = ranks.find(step.occurrence);
      if (rank == ranks.end()) {
        rank = ranks
                   .emplace(step.occurrence,
                            RankOf(job, step.occurrence, PolicyOf(job),
                                   estimates_, covered.contains(id), now.wall))
                   .first;
      }
      unit.rank = rank->second;
      units.push_back(std::move(unit));
    }
  }
  return units;
}

auto Dispatcher::SeatedRunOf(const Run& run,
                             const std::map<std::string, bool>& covered,
                             Moment now) -> SeatedRun {
  SeatedRun seated;
  seated.task = run.task;
  seated.demand = run.demand;
  seated.stopping = run.phase == RunPhase::kStopping;
  seated.expected_end = now.steady;
  auto* job = book_.Find(run.task.job);
  auto* step = job == nullptr ? nullptr : job->FindStep(run.task);
  if (step == nullptr || seated.stopping || IsEnded(job->phase)) {
    // Its room opens by itself.
    seated.stopping = true;
    return seated;
  }
  const auto& spec = job->SpecOf(*step);
  const auto elapsed = run.started_at ? now.steady - *run.started_at : 0;
  seated.expected_end = ExpectedEndOf(run, *job, spec, now);
  const auto members = spec.gang ? static_cast<double>(spec.tasks) : 1.0;
  const auto lost =
      spec.checkpoints ? std::min(elapsed, settings_.checkpoint_ms) : elapsed;
  seated.loss = members * WeightOf(run.demand) * static_cast<double>(lost + 1);
  seated.guaranteed = covered.contains(run.task.job);
  seated.priority = PolicyOf(*job).priority;
  return seated;
}

auto Dispatcher::ViewFleet(const std::map<std::string, bool>& covered,
                           Moment now) -> FleetView {
  FleetView fleet;
  for (const auto& [id, session] : sessions_) {
    if (!session.is_usable() || health_.IsCordoned(id, now.steady)) {
      continue;
    }
    WorkerSlot slot;
    slot.info = &session.info();
    slot.free = session.info().capacity;
    slot.free -= session.used();
    for (const auto& [task, run] : session.runs()) {
      slot.runs.push_back(SeatedRunOf(run, covered, now));
      if (slot.runs.back().stopping) {
        slot.stopping += run.demand;
      }
    }
    fleet.slots.push_back(std::move(slot));
  }
  std::stable_sort(fleet.slots.begin(), fleet.slots.end(),
                   [](const WorkerSlot& left, const WorkerSlot& right) {
                     return left.info->rack < right.info->rack;
                   });
  for (std::size_t index = 0; index < fleet.slots.size(); ++index) {
    const auto starts_rack =
        index == 0 ||
        fleet.slots[index].info->rack != fleet.slots[index - 1].info->rack;
    if (starts_rack) {
      fleet.racks.emplace_back(index, index);
    }
    fleet.racks.back().second = index + 1;
  }
  return fleet;
}

auto Dispatcher::RequestOf(const Unit& unit,
                           const FleetView& fleet,
                           Moment now) const -> SeatRequest {
  const auto& spec = unit.job->SpecOf(*unit.step);
  SeatRequest request;
  request.step = &spec;
  request.service = PolicyOf(*unit.job).service;
  request.tasks = static_cast<std::int64_t>(unit.tasks.size());
  request.now = now.steady;
  request.run_ms = ExpectedRunMs(*unit.job, spec, estimates_);
  request.guaranteed = unit.rank.tier == JobTier::kGuaranteed;
  request.priority = unit.rank.priority;
  for (const auto& task : unit.step->tasks) {
    if (task.phase == TaskPhase::kPlaced) {
      ++request.seated[task.worker];
    }
    request.avoid.insert(task.avoid.begin(), task.avoid.end());
  }
  if (!request.avoid.empty() && !CanEverFit(fleet, request)) {
    request.avoid.clear();
  }
  return request;
}

auto Dispatcher::PlanUnit(Unit& unit,
                          FleetView& fleet,
                          int& reservations,
                          Moment now) -> void {
  const auto& spec = unit.job->SpecOf(*unit.step);
  auto request = RequestOf(unit, fleet, now);
  auto seats = FindSeats(fleet, request);
  if (!seats.empty()) {
    Place(unit, seats, fleet, now);
    if (unit.tasks.empty()) {
      return;
    }
    request = RequestOf(unit, fleet, now);
  }
  const auto is_urgent =
      unit.rank.tier == JobTier::kGuaranteed ||
      (unit.rank.tier == JobTier::kInTime && unit.rank.priority == 0);
  const auto future =
      spec.gang || is_urgent ? FindFutureSeats(fleet, request) : std::nullopt;
  // Runs may be overdue again and again; owed work waits for them only once.
  const auto may_wait = unit.rank.tier != JobTier::kGuaranteed ||
                        now.wall - unit.rank.wanted_at <= kNaturalEndMs;
  const auto opens_soon =
      may_wait && future && future->at - now.steady <= kNaturalEndMs;
  if (is_urgent && !opens_soon && Evict(unit, request, fleet, now)) {
    return;
  }
  if (!future || (!opens_soon && reservations >= kMaxReservations)) {
    return;
  }
  reservations += opens_soon ? 0 : 1;
  for (const auto seat : future->seats) {
    auto& slot = fleet.slots[seat];
    slot.reserved += spec.demand;
    slot.reserved_until = std::max(slot.reserved_until, future->at);
  }
}

auto Dispatcher::Place(Unit& unit,
                       const Seats& seats,
                       FleetView& fleet,
                       Moment now) -> void {
  auto& job = *unit.job;
  auto& step = *unit.step;
  const auto& spec = job.SpecOf(step);
  std::int64_t newest = 0;
  for (const auto& task : step.tasks) {
    newest = std::max(newest, task.attempt);
  }
  for (std::size_t number = 0; number < seats.size(); ++number) {
    auto& slot = fleet.slots[seats[number]];
    const auto index = unit.tasks[number];
    auto& task = step.tasks[index];
    task.phase = TaskPhase::kPlaced;
    task.attempt = (spec.gang ? newest : task.attempt) + 1;
    task.worker = slot.info->id;
    task.life = slot.info->life;
    book_.StoreTask(job, step, index);
    Run run;
    run.task = job.IdOf(step, index);
    run.attempt = task.attempt;
    run.demand = spec.demand;
    run.batch = next_batch_;
    run.payload = job.spec.payload;
    run.checkpoint = spec.gang ? step.tasks[0].checkpoint : task.checkpoint;
    run.placed_at = now.steady;
    sessions_.at(slot.info->id).Add(std::move(run));
    slot.free -= spec.demand;
  }
  AddNote(core::Event::kJobPlaced,
          {{"job", job.spec.id},
           {"step", step.spec},
           {"tasks", seats.size()},
           {"attempt", step.tasks[unit.tasks[0]].attempt},
           {"first_worker", fleet.slots[seats[0]].info->id},
           {"tier", static_cast<int>(unit.rank.tier)},
           {"spare_ms", unit.rank.spare_ms},
           {"age_ms", now.wall - job.spec.accepted_at}});
  job.phase = JobPhase::kRunning;
  evicting_until_.erase(job.IdOf(step, 0));
  unit.tasks.erase(
      unit.tasks.begin(),
      unit.tasks.begin() + static_cast<std::ptrdiff_t>(seats.size()));
}

auto Dispatcher::Evict(const Unit& unit,
                       const SeatRequest& request,
                       FleetView& fleet,
                       Moment now) -> bool {
  const auto& spec = unit.job->SpecOf(*unit.step);
  auto seats = FindSeatsAfterStops(fleet, request);
  auto& until = evicting_until_[unit.job->IdOf(*unit.step, 0)];
  // Room of an earlier stop that something else took from owed work is made
  // again at once.
  if (static_cast<std::int64_t>(seats.size()) < request.tasks &&
      (request.guaranteed || now.steady >= until)) {
    const auto plan = FindEvictions(fleet, request);
    const auto own_work = WeightOf(spec.demand) *
                          static_cast<double>(request.tasks * request.run_ms);
    // What is owed is taken back at any price.
    if (plan && (request.guaranteed || plan->loss <= own_work)) {
      until = now.steady + kEvictionMs;
      StopVictims(plan->victims, unit.job->spec.id, now);
      seats = plan->seats;
    }
  }
  // Nobody else may take the room that is being made.
  for (const auto seat : seats) {
    fleet.slots[seat].free -= spec.demand;
  }
  return !seats.empty();
}

auto Dispatcher::StopVictims(const std::vector<TaskId>& victims,
                             const std::string& beneficiary,
                             Moment now) -> void {
  for (const auto& victim : victims) {
    auto* job = book_.Find(victim.job);
    AddNote(core::Event::kRunEvicted, {{"job", victim.job},
                                       {"task", victim.index},
                                       {"for_job", beneficiary}});
    auto& step = *job->FindStep(victim);
    if (job->SpecOf(step).gang) {
      StopStep(*job, step, now);
    } else {
      StopRun(victim, now);
    }
  }
}

}  // namespace kcm::dispatch
