#include "simulation.h"

#include <algorithm>
#include <cmath>
#include <queue>
#include <set>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <variant>

#include "LibCore/check.h"
#include "LibSchedule/capacity.h"
#include "LibSchedule/worker_table.h"

namespace kcm::bench {

namespace {

/// Time from a preemption to the end of the run.
constexpr core::Millis kStopTime = 5000;
/// Period of planning passes.
constexpr core::Millis kPlanPeriod = 5000;
/// Time between checkpoints; a preemption loses the work of half of it.
constexpr core::Millis kCheckpointPeriod = 60000;

enum class EventKind : std::uint8_t { kArrival, kEnd, kStopped, kTick };

struct Event {
  core::Millis at = 0;
  EventKind kind = EventKind::kTick;
  std::size_t job = 0;
  std::int64_t attempt = 0;

  auto operator>(const Event& other) const -> bool {
    return std::tuple(at, kind, job) >
           std::tuple(other.at, other.kind, other.job);
  }
};

struct SimulatedJob {
  state::Job job;
  core::Millis remaining = 0;
  core::Millis started = 0;
  core::Millis reclaim_since = 0;
  bool running = false;
  bool stopping = false;
  bool ever_started = false;
};

class Simulation {
 public:
  Simulation(const Workload& workload, Strategy& strategy)
      : workload_(&workload), strategy_(&strategy) {
    table_.SetFleet(workload.fleet, "a");
    for (schedule::WorkerIndex i = 0; i < table_.size(); ++i) {
      free_.push_back(table_.at(i).total);
    }
    for (std::size_t i = 0; i < workload.arrivals.size(); ++i) {
      events_.push({workload.arrivals[i].at, EventKind::kArrival, i, 0});
      SimulatedJob job;
      job.job.id = "job-" + std::to_string(100000 + i);
      job.job.spec = workload.arrivals[i].spec;
      job.remaining = workload.arrivals[i].run_ms;
      index_[job.job.id] = i;
      jobs_.push_back(std::move(job));
    }
  }

  auto Run() -> Outcome {
    events_.push({0, EventKind::kTick, 0, 0});
    while (done_jobs_ < jobs_.size() && !events_.empty()) {
      const auto at = events_.top().at;
      AccumulateTimeMeans(at);
      now_ = at;
      while (!events_.empty() && events_.top().at == at) {
        const auto event = events_.top();
        events_.pop();
        HandleEvent(event);
      }
      for (const auto& action : strategy_->Plan(now_)) {
        ExecuteAction(action);
      }
    }
    KCM_CHECK(done_jobs_ == jobs_.size());
    FinishOutcome();
    return std::move(outcome_);
  }

 private:
  auto HandleEvent(const Event& event) -> void {
    auto& job = jobs_[event.job];
    switch (event.kind) {
      case EventKind::kArrival:
        waiting_.insert({-Size(job), event.job});
        strategy_->JobWaiting(job.job, now_);
        return;
      case EventKind::kEnd:
        if (job.running && job.job.attempt == event.attempt) {
          FinishJob(event.job);
        }
        return;
      case EventKind::kStopped:
        if (job.running && job.job.attempt == event.attempt) {
          RequeueJob(event.job);
        }
        return;
      case EventKind::kTick:
        if (done_jobs_ < jobs_.size()) {
          events_.push({now_ + kPlanPeriod, EventKind::kTick, 0, 0});
        }
        return;
    }
  }

  auto ExecuteAction(const schedule::Action& action) -> void {
    if (const auto* place = std::get_if<schedule::PlaceGang>(&action)) {
      const auto index = index_.at(place->job);
      auto& job = jobs_[index];
      KCM_CHECK(!job.running);
      job.running = true;
      job.stopping = false;
      job.started = now_;
      job.job.attempt = place->attempt;
      job.job.members = place->members;
      ChangeFreeCapacity(job, -1);
      waiting_.erase({-Size(job), index});
      events_.push(
          {now_ + job.remaining, EventKind::kEnd, index, place->attempt});
      if (!job.ever_started && workload_->arrivals[index].job_class == "owed") {
        outcome_.guaranteed_wait_s.push_back(
            Seconds(now_ - workload_->arrivals[index].at));
      }
      if (job.reclaim_since > 0) {
        outcome_.reclaim_s.push_back(Seconds(now_ - job.reclaim_since));
        job.reclaim_since = 0;
      }
      job.ever_started = true;
      strategy_->JobPlaced(job.job, now_);
    } else if (const auto* preempt =
                   std::get_if<schedule::PreemptGang>(&action)) {
      const auto index = index_.at(preempt->job);
      auto& job = jobs_[index];
      KCM_CHECK(job.running && !job.stopping);
      job.stopping = true;
      ++outcome_.preemptions;
      events_.push(
          {now_ + kStopTime, EventKind::kStopped, index, preempt->attempt});
      auto& beneficiary = jobs_[index_.at(preempt->beneficiary)];
      if (beneficiary.reclaim_since == 0) {
        beneficiary.reclaim_since = now_;
      }
    } else {
      KCM_CHECK(false);
    }
  }

  auto FinishJob(std::size_t index) -> void {
    auto& job = jobs_[index];
    job.running = false;
    job.job.status = state::JobStatus::kDone;
    ChangeFreeCapacity(job, 1);
    ++done_jobs_;
    const auto& arrival = workload_->arrivals[index];
    const auto seconds = Seconds(now_ - arrival.at);
    outcome_.completion_s[arrival.job_class].push_back(seconds);
    outcome_.completion_s["all"].push_back(seconds);
    useful_before_last_ +=
        static_cast<double>(Size(job)) *
        static_cast<double>(std::max<core::Millis>(
            0, std::min(now_, LastArrival()) - (now_ - arrival.run_ms)));
    strategy_->JobEnded(job.job, now_);
  }

  auto RequeueJob(std::size_t index) -> void {
    auto& job = jobs_[index];
    const auto ran = now_ - job.started;
    if (job.job.spec.recovery == state::Recovery::kCheckpointable) {
      job.remaining -= std::max<core::Millis>(0, ran - kCheckpointPeriod / 2);
      job.job.checkpoint = "checkpoint";
    }
    job.running = false;
    job.stopping = false;
    ChangeFreeCapacity(job, 1);
    job.job.members.clear();
    waiting_.insert({-Size(job), index});
    strategy_->JobWaiting(job.job, now_);
  }

  auto ChangeFreeCapacity(const SimulatedJob& job, std::int64_t sign) -> void {
    for (const auto& member : job.job.members) {
      auto& free = free_[*table_.Find(member.worker)];
      free += schedule::CapacityOf(job.job.spec.shape, sign);
      KCM_CHECK(free.accelerators >= 0 && free.cores >= 0 &&
                free.memory_mb >= 0);
    }
  }

  /// Adds the time since the last event to the time-weighted means.
  auto AccumulateTimeMeans(core::Millis until) -> void {
    const auto span = static_cast<double>(until - now_);
    if (span <= 0 || until > LastArrival()) {
      return;
    }
    std::int64_t free = 0;
    for (const auto& worker : free_) {
      free += worker.accelerators;
    }
    if (waiting_.empty() || free == 0) {
      return;
    }
    const auto& shape = jobs_[waiting_.begin()->second].job.spec.shape;
    const auto unusable = free - UsableAccelerators(shape);
    unusable_time_ +=
        span * static_cast<double>(unusable) / static_cast<double>(free);
    waiting_time_ += span;
    stranded_time_ += span * static_cast<double>(unusable) /
                      static_cast<double>(table_.total().accelerators);
  }

  /// @return free accelerators that whole gangs of the shape can use.
  [[nodiscard]] auto UsableAccelerators(const state::Shape& shape) const
      -> std::int64_t {
    std::int64_t gangs = 0;
    for (schedule::RackIndex rack = 0; rack < table_.rack_count(); ++rack) {
      std::int64_t members_in_rack = 0;
      for (const auto worker : table_.rack_workers(rack)) {
        const auto members = schedule::MembersThatFit(free_[worker], shape);
        members_in_rack += shape.adjacency == state::Adjacency::kSameWorker
                               ? members / shape.members * shape.members
                               : members;
      }
      gangs += members_in_rack / shape.members;
    }
    return gangs * state::TotalAccelerators(shape);
  }

  auto FinishOutcome() -> void {
    const auto last = static_cast<double>(LastArrival());
    outcome_.unusable_of_free =
        waiting_time_ > 0 ? unusable_time_ / waiting_time_ : 0;
    outcome_.stranded = stranded_time_ / last;
    outcome_.utilisation =
        useful_before_last_ /
        (last * static_cast<double>(table_.total().accelerators));
  }

  [[nodiscard]] auto LastArrival() const -> core::Millis {
    return workload_->arrivals.back().at;
  }
  static auto Size(const SimulatedJob& job) -> std::int64_t {
    return state::TotalAccelerators(job.job.spec.shape);
  }
  static auto Seconds(core::Millis span) -> double {
    return static_cast<double>(span) / 1000;
  }

  const Workload* workload_;
  Strategy* strategy_;
  schedule::WorkerTable table_;
  std::vector<schedule::Capacity> free_;
  std::vector<SimulatedJob> jobs_;
  std::unordered_map<std::string, std::size_t> index_;
  std::set<std::pair<std::int64_t, std::size_t>> waiting_;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  core::Millis now_ = 0;
  std::size_t done_jobs_ = 0;
  double unusable_time_ = 0;
  double waiting_time_ = 0;
  double stranded_time_ = 0;
  double useful_before_last_ = 0;
  Outcome outcome_;
};

}  // namespace

auto Simulate(const Workload& workload, Strategy& strategy) -> Outcome {
  return Simulation(workload, strategy).Run();
}

auto Mean(const std::vector<double>& values) -> double {
  double sum = 0;
  for (const auto value : values) {
    sum += value;
  }
  return values.empty() ? 0 : sum / static_cast<double>(values.size());
}

auto Percentile(std::vector<double> values, double share) -> double {
  if (values.empty()) {
    return 0;
  }
  std::sort(values.begin(), values.end());
  const auto rank = static_cast<std::size_t>(
      std::ceil(share * static_cast<double>(values.size())));
  return values[std::min(rank, values.size()) - (rank > 0 ? 1 : 0)];
}

}  // namespace kcm::bench
