// Placement of waiting steps on the fleet.

#include <algorithm>
#include <limits>
#include <utility>

#include "LibDispatch/dispatcher.h"
#include "LibDispatch/rack_wait.h"

namespace kcm::dispatch {

namespace {

/// Interval between planning passes while nothing changes.
constexpr core::Millis kPlanPeriodMs = 250;
/// Events within this time share a planning pass. Urgent work has an objective
/// of 500 ms, of which the pause may take a small part.
constexpr core::Millis kMinPlanPauseMs = 20;
/// Items that planning may look at per millisecond, on average. A longer pass
/// is followed by a longer pause, so that planning leaves time for calls to
/// workers and the store.
constexpr std::int64_t kPlanWorkPerMs = 500;
/// The last attempt of a task that failed at once before is made on workers
/// that have completed a run begun since, until no run has failed so for this
/// long: until then, further workers may fail all that they start.
constexpr core::Millis kQuietMs = 1000;
/// It waits no longer than this for such workers; workers fail for some
/// seconds.
constexpr core::Millis kMaxHoldBackMs = 6000;
/// An urgent step without a guarantee evicts again after this time.
constexpr core::Millis kEvictionMs = 800;
/// Runs that end within this time, about as long as a stop takes, are awaited
/// instead of evicting others.
constexpr core::Millis kWaitForEndMs = 300;
/// Searches of one pass for steps that may give their rack up. Such steps take
/// no capacity while they wait, which would bound their number.
constexpr int kSearchesElsewhere = 32;
/// Share of the fleet in use from which on room counts as scarce.
constexpr double kMostInUse = 0.5;
/// Steps that wait longer than this are logged, this often, and so many of them
/// at a time.
constexpr core::Millis kLongWaitMs = 4000;
constexpr core::Millis kWaitReportPeriodMs = 2000;
constexpr std::size_t kWaitReports = 4;
/// Maximum number of steps with reserved capacity at the same time.
constexpr int kMaxReservations = 2;
/// A task of which more than this fit into every worker asks for next to
/// nothing.
constexpr std::int64_t kSmallTaskCopies = 128;

}  // namespace

auto Dispatcher::PlanPlacements(ClockReading now) -> void {
  next_plan_at_ = now.steady + kPlanPeriodMs;
  ++load_.plans;
  const auto work_before = load_.work();
  PlacePendingSteps(now);
  const auto work = load_.work() - work_before;
  plan_pause_until_ =
      now.steady + std::max(kMinPlanPauseMs, work / kPlanWorkPerMs);
}

auto Dispatcher::PlacePendingSteps(ClockReading now) -> void {
  const auto guaranteed_jobs = GuaranteedJobs();
  account_shares_.SetGuaranteedJobs(guaranteed_jobs, now.steady);
  account_shares_.Prune(now.steady);
  auto pending_steps = CollectPendingSteps(guaranteed_jobs, now);
  if (pending_steps.empty()) {
    return;
  }
  PlanPass pass;
  pass.fleet = BuildFleetView(now);
  if (pass.fleet.workers.empty()) {
    return;
  }
  IsolateSuspects(pending_steps, pass, now);
  std::stable_sort(pending_steps.begin(), pending_steps.end(),
                   [](const PendingStep& left, const PendingStep& right) {
                     return left.rank < right.rank;
                   });
  for (auto first = pending_steps.begin(); first != pending_steps.end();) {
    const auto last = std::find_if(
        first, pending_steps.end(),
        [&](const auto& pending) { return pending.Group() != first->Group(); });
    PlanGroup({first, last}, guaranteed_jobs, pass, now);
    first = last;
  }
  groups_without_room_ = std::move(pass.groups_without_room);
  ReportLongWaits(pending_steps, pass, now);
}

auto Dispatcher::ReportLongWaits(const std::vector<PendingStep>& pending_steps,
                                 const PlanPass& pass,
                                 ClockReading now) -> void {
  if (now.steady < next_wait_report_at_) {
    return;
  }
  next_wait_report_at_ = now.steady + kWaitReportPeriodMs;
  std::vector<const PendingStep*> waiting;
  for (const auto& pending : pending_steps) {
    if (!pending.tasks.empty() &&
        now.wall - pending.rank.due_at >= kLongWaitMs) {
      waiting.push_back(&pending);
    }
  }
  const auto count = std::min(waiting.size(), kWaitReports);
  std::partial_sort(
      waiting.begin(), waiting.begin() + static_cast<std::ptrdiff_t>(count),
      waiting.end(), [](const PendingStep* left, const PendingStep* right) {
        return left->rank.due_at < right->rank.due_at;
      });
  waiting.resize(count);
  for (const auto* pending : waiting) {
    const auto request = BuildPlacementRequest(*pending, pass.fleet, now);
    const auto report = CountWhereFits(pass.fleet, request);
    const auto& spec = *request.step;
    core::Json fields = {{"job", pending->job->spec.id},
                         {"step", pending->step->spec},
                         {"tasks", request.tasks},
                         {"age_ms", now.wall - pending->rank.due_at},
                         {"tier", static_cast<int>(pending->rank.tier)},
                         {"gang", spec.gang},
                         {"same_rack", spec.same_rack},
                         {"data_rack", spec.data_rack},
                         {"label", spec.required_label},
                         {"avoided", request.avoid.size()},
                         {"isolated", pending->is_isolated},
                         {"workers", pass.fleet.workers.size()},
                         {"eligible", report.eligible},
                         {"fit_empty", report.fit_empty},
                         {"fit_now", report.fit_now},
                         {"fit_rack_empty", report.fit_rack_empty},
                         {"fit_rack_now", report.fit_rack_now},
                         {"reservations", pass.reservations}};
    AddAccountFields(*pending, fields);
    RecordDecision(core::Event::kStepWaits, std::move(fields));
  }
}

auto Dispatcher::GuaranteedJobs() -> std::map<std::string, bool> {
  std::vector<const Job*> urgent;
  for (const auto& [id, job] : job_table_.live_jobs()) {
    ++load_.jobs;
    if (PolicyOf(*job).priority == 0) {
      urgent.push_back(job);
    }
  }
  std::stable_sort(urgent.begin(), urgent.end(),
                   [](const Job* left, const Job* right) {
                     return left->spec.accepted_at < right->spec.accepted_at;
                   });
  std::map<std::string, std::int64_t> used;
  std::map<std::string, bool> guaranteed_jobs;
  for (const auto* job : urgent) {
    std::int64_t need = 0;
    for (const auto& step : job->spec.steps) {
      need = std::max(need, step.tasks * step.demand.accelerators);
    }
    const auto guarantee = guarantees_.find(job->spec.account);
    auto& sum = used[job->spec.account];
    if (guarantee != guarantees_.end() && sum + need <= guarantee->second) {
      sum += need;
      guaranteed_jobs[job->spec.id] = true;
    }
  }
  return guaranteed_jobs;
}

auto Dispatcher::CollectPendingSteps(
    const std::map<std::string, bool>& guaranteed_jobs,
    ClockReading now) -> std::vector<PendingStep> {
  std::vector<PendingStep> pending_steps;
  auto small_runs = RoomForSmallRuns();
  for (const auto& [id, live_job] : job_table_.live_jobs()) {
    ++load_.jobs;
    auto& job = *live_job;
    std::map<std::int64_t, JobRank> ranks;
    for (auto& step : job.steps) {
      if (step.done == static_cast<std::int64_t>(step.tasks.size()) ||
          now.wall < step.due_at || !job.IsUnblocked(step)) {
        continue;
      }
      const auto is_gang = job.SpecOf(step).gang;
      PendingStep pending{&job, &step, {}, {}, false};
      pending.is_isolated = is_gang && IsSuspect(job, step, 0);
      PendingStep held = pending;
      std::vector<PendingStep> suspects;
      for (std::size_t index = 0; index < step.tasks.size(); ++index) {
        const auto& task = step.tasks[index];
        if (task.phase == TaskPhase::kWaiting && !is_gang &&
            IsSuspect(job, step, index)) {
          suspects.push_back({&job, &step, {index}, {}, true});
        } else if (task.phase == TaskPhase::kWaiting) {
          auto& part = !is_gang && HeldSince(task, now) > 0 ? held : pending;
          part.tasks.push_back(index);
        }
      }
      LimitSmallTasks(job.SpecOf(step), pending, small_runs);
      if ((pending.tasks.empty() && held.tasks.empty() && suspects.empty()) ||
          (is_gang && pending.tasks.size() < step.tasks.size())) {
        continue;
      }
      auto rank = ranks.find(step.occurrence);
      if (rank == ranks.end()) {
        rank =
            ranks
                .emplace(step.occurrence,
                         RankOf(job, step.occurrence, PolicyOf(job), estimates_,
                                guaranteed_jobs.contains(id), now.wall))
                .first;
      }
      ++load_.steps;
      for (auto& suspect : suspects) {
        suspect.rank = rank->second;
        pending_steps.push_back(std::move(suspect));
      }
      for (auto* part : {&pending, &held}) {
        if (!part->tasks.empty()) {
          part->rank = rank->second;
          pending_steps.push_back(std::move(*part));
        }
      }
    }
  }
  return pending_steps;
}

auto Dispatcher::RoomForSmallRuns() const -> SmallRuns {
  SmallRuns room{settings_.max_small_runs, {}};
  for (const auto& [id, session] : sessions_) {
    room.runs -= static_cast<std::int64_t>(session.runs().size());
    const auto& capacity = session.info().capacity;
    auto& largest = room.largest_worker;
    largest = {std::max(largest.millicores, capacity.millicores),
               std::max(largest.memory_mb, capacity.memory_mb),
               std::max(largest.accelerators, capacity.accelerators)};
  }
  return room;
}

auto Dispatcher::LimitSmallTasks(const StepSpec& spec,
                                 PendingStep& pending,
                                 SmallRuns& room) -> void {
  if (CopiesThatFit(room.largest_worker, spec.demand) <= kSmallTaskCopies) {
    return;
  }
  const auto most =
      static_cast<std::size_t>(std::max<std::int64_t>(room.runs, 0));
  if (pending.tasks.size() > most) {
    // A gang starts whole or not at all.
    pending.tasks.resize(spec.gang ? 0 : most);
  }
  room.runs -= static_cast<std::int64_t>(pending.tasks.size());
}

auto Dispatcher::HeldSince(const Task& task, ClockReading now) const
    -> core::Millis {
  const auto is_quiet = now.steady - health_.failed_at_once_at() >= kQuietMs;
  return task.held_since && !is_quiet &&
                 now.steady - *task.held_since < kMaxHoldBackMs
             ? *task.held_since
             : 0;
}

auto Dispatcher::ProvenSince(const PendingStep& pending, ClockReading now) const
    -> core::Millis {
  core::Millis since = 0;
  for (const auto index : pending.tasks) {
    since = std::max(since, HeldSince(pending.step->tasks[index], now));
  }
  return since;
}

auto Dispatcher::BuildRunView(
    const Run& run,
    const std::map<std::string, bool>& guaranteed_jobs,
    ClockReading now) -> RunView {
  RunView view;
  view.task = run.task;
  view.demand = run.demand;
  view.stopping = run.phase == RunPhase::kStopping;
  view.expected_end = now.steady;
  auto* job = job_table_.FindJob(run.task.job);
  auto* step = job == nullptr ? nullptr : job->FindStep(run.task);
  if (step == nullptr || view.stopping || IsEnded(job->phase)) {
    // Its capacity will be released without an eviction.
    view.stopping = true;
    return view;
  }
  const auto& spec = job->SpecOf(*step);
  const auto elapsed = WorkedMs(run, *job, spec, now);
  view.expected_end = ExpectedEndOf(run, *job, spec, now);
  const auto members = spec.gang ? static_cast<double>(spec.tasks) : 1.0;
  // A stop saves a checkpoint.
  const auto lost =
      spec.checkpoints ? std::min(elapsed, settings_.restore_ms) : elapsed;
  view.loss = members * CoresOf(run.demand) * static_cast<double>(lost + 1);
  view.guaranteed = guaranteed_jobs.contains(run.task.job);
  view.priority = PolicyOf(*job).priority;
  return view;
}

auto Dispatcher::BuildFleetView(ClockReading now) -> FleetView {
  FleetView fleet;
  fleet.load = &load_;
  const auto avoids_slow = slow_workers_.MayAvoid(now.steady);
  for (const auto& [id, session] : sessions_) {
    ++load_.workers;
    if (!session.is_usable() || IsEvacuated(session.info()) ||
        health_.IsCordoned(id, now.steady) ||
        (avoids_slow && slow_workers_.IsSlow(id, now.steady))) {
      continue;
    }
    WorkerView worker;
    worker.info = &session.info();
    worker.proven_at = health_.ProvenAt(id);
    worker.free = session.info().capacity;
    worker.free -= session.used();
    auto& pool = fleet.pools[worker.info->service];
    pool.total += worker.info->capacity;
    pool.free += worker.free;
    fleet.workers.push_back(std::move(worker));
  }
  std::stable_sort(fleet.workers.begin(), fleet.workers.end(),
                   [](const WorkerView& left, const WorkerView& right) {
                     return left.info->rack < right.info->rack;
                   });
  for (std::size_t index = 0; index < fleet.workers.size(); ++index) {
    const auto starts_rack =
        index == 0 ||
        fleet.workers[index].info->rack != fleet.workers[index - 1].info->rack;
    if (starts_rack) {
      fleet.racks.emplace_back(index, index);
    }
    fleet.racks.back().second = index + 1;
  }
  return fleet;
}

auto Dispatcher::AddRunViews(const std::map<std::string, bool>& guaranteed_jobs,
                             PlanPass& pass,
                             ClockReading now) -> void {
  if (std::exchange(pass.has_runs, true)) {
    return;
  }
  for (auto& worker : pass.fleet.workers) {
    for (const auto& [task, run] : sessions_.at(worker.info->id).runs()) {
      ++load_.runs;
      if (run.phase == RunPhase::kStarting && run.placed_at == now.steady) {
        // Placed in this pass, ahead of the steps that still wait.
        continue;
      }
      worker.runs.push_back(BuildRunView(run, guaranteed_jobs, now));
      if (worker.runs.back().stopping) {
        worker.stopping += run.demand;
      }
    }
  }
}

auto Dispatcher::BuildPlacementRequest(const PendingStep& pending,
                                       const FleetView& fleet,
                                       ClockReading now) const
    -> PlacementRequest {
  const auto& spec = pending.job->SpecOf(*pending.step);
  PlacementRequest request;
  request.step = &spec;
  request.service = PolicyOf(*pending.job).service;
  request.tasks = static_cast<std::int64_t>(pending.tasks.size());
  request.now = now.steady;
  request.run_ms = ExpectedRunMs(*pending.job, spec, estimates_);
  request.backfill_ms = estimates_.UpperMs(
      pending.job->spec.queue, std::max<core::Millis>(spec.estimate_ms, 1));
  request.guaranteed = pending.rank.tier == JobTier::kGuaranteed;
  request.priority = pending.rank.priority;
  for (const auto& task : pending.step->tasks) {
    if (spec.max_per_worker > 0 && task.phase == TaskPhase::kPlaced) {
      ++request.placed[task.worker];
    }
    request.avoid.insert(task.avoid.begin(), task.avoid.end());
  }
  if (!request.avoid.empty() && !CanEverFit(fleet, request)) {
    request.avoid.clear();
  }
  return request;
}

auto Dispatcher::PlanStep(PendingStep& pending,
                          const std::map<std::string, bool>& guaranteed_jobs,
                          PlanPass& pass,
                          ClockReading now) -> void {
  if (AwaitsOtherSuspects(pending, pass)) {
    return;
  }
  auto& fleet = pass.fleet;
  const auto& spec = pending.job->SpecOf(*pending.step);
  auto request = BuildPlacementRequest(pending, fleet, now);
  request.proven_since = ProvenSince(pending, now);
  if (request.proven_since > 0) {
    // The tasks that must run in one rack wait, as few workers are proven.
    const auto placement = spec.same_rack || !spec.data_rack.empty()
                               ? Placement{}
                               : FindPlacement(fleet, request);
    if (!placement.empty()) {
      Place(pending, placement, fleet, now);
    }
    return;
  }
  if (pending.is_isolated && PlanSuspect(pending, request, pass, now)) {
    return;
  }
  if (!pass.no_capacity.Cover(request, 0)) {
    const auto placement = FindPlacement(fleet, request);
    if (!placement.empty()) {
      Place(pending, placement, fleet, now);
      if (pending.tasks.empty()) {
        return;
      }
      request = BuildPlacementRequest(pending, fleet, now);
    } else {
      // Only reservations allow short runs where long ones do not fit.
      pass.no_capacity.Add(request, pass.has_reserved ? request.backfill_ms : 0,
                           0);
    }
  }
  if (PrefersRack(spec)) {
    PlaceElsewhere(pending, request, pass, now);
    if (pending.tasks.empty()) {
      return;
    }
    request = BuildPlacementRequest(pending, fleet, now);
  }
  const auto is_urgent =
      pending.rank.tier == JobTier::kGuaranteed ||
      (pending.rank.tier == JobTier::kInTime && pending.rank.priority == 0);
  if (!spec.gang && !is_urgent) {
    return;
  }
  // Runs may stay overdue; guaranteed work waits for them only once.
  const auto may_wait = pending.rank.tier != JobTier::kGuaranteed ||
                        now.wall - pending.rank.due_at <= kWaitForEndMs;
  const auto may_reserve = pass.reservations < kMaxReservations;
  std::optional<FuturePlacement> future;
  AddRunViews(guaranteed_jobs, pass, now);
  if (may_reserve || (may_wait && !pass.not_open_soon.Cover(request, 0))) {
    future = FindFuturePlacement(fleet, request);
    if (!future || future->at - now.steady > kWaitForEndMs) {
      pass.not_open_soon.Add(request, 0, 0);
    }
  }
  const auto opens_soon =
      may_wait && future && future->at - now.steady <= kWaitForEndMs;
  if (is_urgent && !opens_soon && EvictFor(pending, request, pass, now)) {
    return;
  }
  if (!future || (!opens_soon && !may_reserve)) {
    return;
  }
  pass.reservations += opens_soon ? 0 : 1;
  pass.has_reserved = true;
  for (const auto worker_index : future->placement) {
    auto& worker = fleet.workers[worker_index];
    worker.reserved += spec.demand;
    worker.reserved_until = std::max(worker.reserved_until, future->at);
  }
}

auto Dispatcher::PlaceElsewhere(PendingStep& pending,
                                const PlacementRequest& request,
                                PlanPass& pass,
                                ClockReading now) -> void {
  const auto spec = WithoutRack(*request.step);
  auto elsewhere = request;
  elsewhere.step = &spec;
  elsewhere.tasks = static_cast<std::int64_t>(pending.tasks.size());
  if (pass.searches_elsewhere >= kSearchesElsewhere ||
      pass.no_capacity.Cover(elsewhere, 0)) {
    return;
  }
  ++pass.searches_elsewhere;
  const auto placement = FindPlacement(pass.fleet, elsewhere);
  if (placement.empty()) {
    pass.no_capacity.Add(elsewhere,
                         pass.has_reserved ? elsewhere.backfill_ms : 0, 0);
    return;
  }
  auto& since = pending.step->fits_elsewhere_since;
  since = since.value_or(now.steady);
  auto twice = elsewhere;
  twice.tasks *= 2;
  const auto has_ample_room =
      ShareInUse(pass.fleet, request.service) < kMostInUse &&
      static_cast<std::int64_t>(FindPlacement(pass.fleet, twice).size()) ==
          twice.tasks;
  const auto waited = now.steady - *since;
  if (waited < LongestRackWaitMs({elsewhere.run_ms, settings_.remote_factor,
                                  has_ample_room})) {
    return;
  }
  RecordDecision(core::Event::kRackGivenUp,
                 {{"job", pending.job->spec.id},
                  {"step", pending.step->spec},
                  {"tasks", placement.size()},
                  {"data_rack", request.step->data_rack},
                  {"waited_ms", waited},
                  {"run_ms", elsewhere.run_ms},
                  {"ample_room", has_ample_room}});
  if (pending.is_isolated) {
    PlaceApart(pending, placement, pass, now);
  } else {
    Place(pending, placement, pass.fleet, now);
  }
}

auto Dispatcher::Place(PendingStep& pending,
                       const Placement& placement,
                       FleetView& fleet,
                       ClockReading now) -> void {
  auto& job = *pending.job;
  auto& step = *pending.step;
  const auto& spec = job.SpecOf(step);
  step.fits_elsewhere_since.reset();
  std::int64_t newest = 0;
  for (const auto& task : step.tasks) {
    newest = std::max(newest, task.attempt);
  }
  for (std::size_t number = 0; number < placement.size(); ++number) {
    auto& worker = fleet.workers[placement[number]];
    const auto index = pending.tasks[number];
    auto& task = step.tasks[index];
    task.phase = TaskPhase::kPlaced;
    task.attempt = (spec.gang ? newest : task.attempt) + 1;
    task.worker = worker.info->id;
    task.incarnation = worker.info->incarnation;
    job_table_.StoreTask(job, step, index);
    Run run;
    run.task = job.IdOf(step, index);
    run.attempt = task.attempt;
    run.demand = spec.demand;
    run.batch = next_batch_;
    run.payload = job.spec.payload;
    run.checkpoint = spec.gang ? step.tasks[0].checkpoint : task.checkpoint;
    run.placed_at = now.steady;
    sessions_.at(worker.info->id).AddRun(std::move(run));
    call_schedule_.SetDueNow(worker.info->id);
    worker.free -= spec.demand;
    fleet.pools[worker.info->service].free -= spec.demand;
    account_shares_.AddRun(PoolAccountOf(job), job.spec.id, spec.demand,
                           pending.rank.tier == JobTier::kGuaranteed,
                           now.steady);
    worker.isolation = Isolation::kNone;
  }
  core::Json fields = {{"job", job.spec.id},
                       {"step", step.spec},
                       {"tasks", placement.size()},
                       {"attempt", step.tasks[pending.tasks[0]].attempt},
                       {"first_worker", fleet.workers[placement[0]].info->id},
                       {"tier", static_cast<int>(pending.rank.tier)},
                       {"spare_ms", pending.rank.slack_ms},
                       {"age_ms", now.wall - job.spec.accepted_at}};
  AddAccountFields(pending, fields);
  RecordDecision(core::Event::kJobPlaced, std::move(fields));
  evicting_until_.erase(job.IdOf(step, 0));
  pending.tasks.erase(
      pending.tasks.begin(),
      pending.tasks.begin() + static_cast<std::ptrdiff_t>(placement.size()));
}

auto Dispatcher::EvictFor(const PendingStep& pending,
                          const PlacementRequest& request,
                          PlanPass& pass,
                          ClockReading now) -> bool {
  auto& fleet = pass.fleet;
  const auto& spec = pending.job->SpecOf(*pending.step);
  Placement placement;
  if (!pass.no_capacity_after_stops.Cover(request, 0)) {
    placement = FindPlacementAfterStops(fleet, request);
    if (placement.empty()) {
      pass.no_capacity_after_stops.Add(request, 0, 0);
    }
  }
  auto& until = evicting_until_[pending.job->IdOf(*pending.step, 0)];
  // Guaranteed capacity is reclaimed regardless of the work lost.
  const auto may_lose =
      request.guaranteed
          ? std::numeric_limits<double>::max()
          : CoresOf(spec.demand) *
                static_cast<double>(request.tasks * request.run_ms);
  // If other work took the capacity freed for guaranteed work, evict again
  // at once.
  if (static_cast<std::int64_t>(placement.size()) < request.tasks &&
      (request.guaranteed || now.steady >= until) &&
      !pass.no_evictions.Cover(request, may_lose)) {
    const auto plan = FindEvictions(fleet, request);
    if (!plan || plan->loss > may_lose) {
      pass.no_evictions.Add(
          request, 0, plan ? may_lose : std::numeric_limits<double>::max());
    } else {
      until = now.steady + kEvictionMs;
      StopVictims(plan->victims, pending.job->spec.id, now);
      placement = plan->placement;
    }
  }
  // Keep other steps from taking the capacity being freed.
  for (const auto worker_index : placement) {
    fleet.workers[worker_index].free -= spec.demand;
  }
  return !placement.empty();
}

auto Dispatcher::StopVictims(const std::vector<TaskId>& victims,
                             const std::string& beneficiary,
                             ClockReading now) -> void {
  for (const auto& victim : victims) {
    auto* job = job_table_.FindJob(victim.job);
    RecordDecision(core::Event::kRunEvicted, {{"job", victim.job},
                                              {"task", victim.index},
                                              {"for_job", beneficiary}});
    auto& step = *job->FindStep(victim);
    if (job->SpecOf(step).gang) {
      StopStep(*job, step, StopCause::kEvicted, now);
    } else {
      StopRun(victim, StopCause::kEvicted, now);
    }
  }
}

}  // namespace kcm::dispatch
