#pragma once

#include <algorithm>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "LibDispatch/dispatcher.h"
#include "fake_worker.h"
#include "promise_check.h"

namespace kcm::dispatch {

/// What goes wrong between a holder and its workers and store.
struct WorldFaults {
  /// Share of calls whose answer is lost.
  double lost = 0;
  /// Share of calls without an answer that take effect seconds later.
  double late = 0;
};

/// A holder, its store and its workers on simulated time, with the promises
/// checked at each start and each end.
class DispatchWorld {
 public:
  static constexpr core::Millis kStepMs = 10;

  explicit DispatchWorld(std::uint32_t seed = 1)
      : random_(seed), dispatcher_(std::make_unique<Dispatcher>(Settings())) {
    dispatcher_->Recover({}, 0);
    dispatcher_->SetQueues(Queues());
  }

  static auto Settings() -> DispatchSettings { return {}; }

  static auto Queues() -> std::map<std::string, QueuePolicy> {
    return {{"urgent", {"pool", 0, 2, 1.5, 500}},
            {"batch", {"pool", 1, 4, 3, 1200}},
            {"idle", {"pool", 2, 4, 3, 3000}}};
  }

  auto AddWorkers(int count, int per_rack = 8) -> void {
    for (int number = 0; number < count; ++number) {
      WorkerInfo info;
      info.id = "w" + std::to_string(workers.size());
      info.life = 1;
      info.service = "pool";
      info.address = {"10.0.0.1", 1};
      info.rack =
          "r" + std::to_string(static_cast<int>(workers.size()) / per_rack);
      info.labels = {"a", info.rack};
      info.capacity = {32000, 131072, 8};
      workers.emplace(info.id, FakeWorker(info));
    }
  }

  static auto Step(std::int64_t tasks,
                   std::int64_t accelerators,
                   core::Millis run_ms) -> StepSpec {
    StepSpec step;
    step.tasks = tasks;
    step.demand = {1000, 1000, accelerators};
    step.estimate_ms = run_ms;
    return step;
  }

  static auto Gang(std::int64_t tasks,
                   std::int64_t accelerators,
                   core::Millis run_ms) -> StepSpec {
    auto step = Step(tasks, accelerators, run_ms);
    step.gang = true;
    return step;
  }

  auto Submit(const std::string& id,
              const std::string& queue,
              const std::vector<StepSpec>& steps,
              const std::string& account = "council") -> JobView {
    JobSpec spec;
    spec.id = id;
    spec.queue = queue;
    spec.account = account;
    spec.steps = steps;
    return Submit(spec);
  }

  auto Submit(JobSpec spec) -> JobView {
    spec.payload = "work";
    spec.policy.service = "pool";
    promises.OnSubmit(spec);
    return dispatcher_->Submit(spec, Now());
  }

  auto Cancel(const std::string& id) -> void {
    const auto view = dispatcher_->Cancel(id, Now());
    if (view && view->phase == JobPhase::kCancelled) {
      promises.OnCancel(id, view->batch);
    }
  }

  /// Refuses a job that is not on its way to the store.
  auto Withdraw(const std::string& id) -> void {
    if (!storing_ && dispatcher_->Withdraw(id, Now())) {
      promises.OnRefused(id);
    }
  }

  [[nodiscard]] auto Now() const -> Moment { return {now, now + 1000000}; }

  /// The holder is gone; the next one starts from what is stored.
  auto ReplaceHolder(core::Millis lapse_after = 10500) -> void {
    ++fence;
    ++generation_;
    std::vector<Row> rows;
    for (const auto& [key, value] : stored_rows) {
      rows.push_back({key, value});
    }
    dispatcher_ = std::make_unique<Dispatcher>(Settings());
    dispatcher_->Recover(rows, now + lapse_after);
    dispatcher_->SetQueues(Queues());
    dispatcher_->SetGuarantees(guarantees);
    promises.OnNewHolder();
  }

  auto SetGuarantees(std::map<std::string, std::int64_t> owed) -> void {
    guarantees = owed;
    dispatcher_->SetGuarantees(std::move(owed));
  }

  auto Run(core::Millis span) -> void {
    for (const auto end = now + span; now < end;) {
      Advance();
    }
  }

  auto RunUntil(const std::function<bool()>& reached, core::Millis most)
      -> bool {
    for (const auto end = now + most; now < end && !reached();) {
      Advance();
    }
    return reached();
  }

  [[nodiscard]] auto PhaseOf(const std::string& job) const -> JobPhase {
    const auto view = dispatcher_->Find(job);
    return view ? view->phase : JobPhase::kFailed;
  }

  [[nodiscard]] auto IsRunningAnywhere(const TaskId& task) const -> int {
    int count = 0;
    for (const auto& [id, worker] : workers) {
      count += worker.runs().contains(task) ? 1 : 0;
    }
    return count;
  }

  [[nodiscard]] auto RunsOf(const std::string& job) const -> int {
    int count = 0;
    for (const auto& [id, worker] : workers) {
      for (const auto& [task, run] : worker.runs()) {
        count += task.job == job ? 1 : 0;
      }
    }
    return count;
  }

  auto dispatcher() -> Dispatcher& { return *dispatcher_; }

  std::map<std::string, FakeWorker> workers;
  /// Workers that the platform lists no more, and those that do not answer.
  std::set<std::string> unlisted;
  std::set<std::string> cut;
  std::map<std::string, std::string> stored_rows;
  std::map<std::string, std::int64_t> guarantees;
  /// Members of gangs that waited in vain for the others.
  int alone = 0;
  PromiseCheck promises{Queues()};
  /// Prints what the dispatcher decides.
  bool verbose = false;
  /// Told of each call before it is delivered.
  std::function<void(const WorkerCall&)> on_call;
  WorldFaults faults;
  bool store_up = true;
  core::Millis store_ms = 10;
  core::Millis now = 0;
  std::int64_t fence = 1;
  /// What a run of a task needs, by job; the estimate otherwise.
  std::map<std::string, core::Millis> needs;

 private:
  struct Due {
    core::Millis at = 0;
    std::function<void()> act;
  };

  auto Chance(double share) -> bool {
    return std::uniform_real_distribution<double>(0, 1)(random_) < share;
  }
  auto Span(core::Millis least, core::Millis most) -> core::Millis {
    return std::uniform_int_distribution<core::Millis>(least, most)(random_);
  }

  auto Later(core::Millis delay, std::function<void()> act) -> void {
    due_.push_back({now + delay, std::move(act)});
  }

  auto Advance() -> void {
    now += kStepMs;
    Work();
    for (auto& [id, worker] : workers) {
      for (const auto& end : worker.TakeNoted()) {
        promises.OnNoted(end, now);
      }
    }
    for (std::size_t index = 0; index < due_.size();) {
      if (due_[index].at > now) {
        ++index;
        continue;
      }
      const auto act = std::move(due_[index].act);
      due_.erase(due_.begin() + static_cast<std::ptrdiff_t>(index));
      act();
    }
    if (now % 400 == 0) {
      List();
    }
    for (const auto& call : dispatcher_->TakeCalls(Now(), true)) {
      if (on_call) {
        on_call(call);
      }
      if (const auto* start = std::get_if<StartCall>(&call.what)) {
        promises.OnOrder(*start, now);
      }
      Deliver(call);
    }
    Store();
    for (const auto& note : dispatcher_->TakeNotes()) {
      if (note.event == core::Event::kJobEnded &&
          note.fields.at("status") == core::NameOf(JobPhase::kFailed)) {
        promises.OnJobFailed(note.fields.at("job"), now);
      }
      if (verbose) {
        std::cout << now << " " << core::NameOf(note.event) << " "
                  << note.fields.dump() << "\n";
      }
    }
  }

  auto Work() -> void {
    std::map<std::tuple<std::string, std::int64_t, std::int64_t>, std::int64_t>
        present;
    for (const auto& [id, worker] : workers) {
      for (const auto& [task, run] : worker.runs()) {
        ++present[{task.job, task.step, run.attempt}];
      }
    }
    const auto is_whole = [&](const FakeRun& run) {
      const auto& step = promises.SpecOf(run.task);
      return !step.gang ||
             present[{run.task.job, run.task.step, run.attempt}] == step.tasks;
    };
    // The end of a gang is one: a member that fails takes the others along.
    for (const auto failing : {true, false}) {
      for (auto& [id, worker] : workers) {
        if (worker.fails() == failing) {
          for (const auto& [run, how] :
               worker.Advance(now, kStepMs, is_whole)) {
            Note(run, how);
          }
        }
      }
    }
    for (auto& [id, worker] : workers) {
      for (const auto& [task, run] : std::map(worker.runs())) {
        if (!is_whole(run) && run.worked_ms == run.resumed_ms &&
            now - run.began_at > Settings().gang_timeout_ms) {
          worker.End(task, RunEnd::kAlone);
          ++alone;
        }
      }
    }
  }

  auto List() -> void {
    std::vector<WorkerInfo> listed;
    for (const auto& [id, worker] : workers) {
      if (!unlisted.contains(id)) {
        listed.push_back(worker.info());
      }
    }
    dispatcher_->SetFleet(listed, Now());
  }

  auto Store() -> void {
    if (storing_ || !store_up) {
      return;
    }
    auto batch = dispatcher_->TakeBatch();
    if (!batch) {
      return;
    }
    storing_ = true;
    Later(store_ms,
          [this, batch = std::move(*batch), generation = generation_] {
            storing_ = false;
            if (generation != generation_) {
              return;
            }
            for (const auto& row : batch.rows) {
              if (row.value.empty()) {
                stored_rows.erase(row.key);
              } else {
                stored_rows[row.key] = row.value;
              }
            }
            dispatcher_->Stored(batch.number);
            promises.OnStored(batch.number);
          });
  }

  auto Deliver(const WorkerCall& call) -> void {
    const auto there = Span(1, 20);
    const auto token = fence;
    const auto generation = generation_;
    if (cut.contains(call.worker) || !workers.at(call.worker).up()) {
      Later(800, [this, call, generation] { Answer(call, {}, generation); });
      return;
    }
    if (!std::holds_alternative<LookCall>(call.what) && Chance(faults.late)) {
      // A worker that crashes forgets the orders that it left unanswered.
      Later(Span(2000, 12000), [this, call, token] {
        if (workers.at(call.worker).info().life == call.life) {
          Act(call, token);
        }
      });
      Later(600, [this, call, generation] { Answer(call, {}, generation); });
      return;
    }
    Later(there, [this, call, token, generation] {
      if (const auto* look = std::get_if<LookCall>(&call.what);
          look != nullptr && look->wait_ms > 0) {
        Await(call, *look, token, now + look->wait_ms, generation);
        return;
      }
      Reply(call, Act(call, token), generation);
    });
  }

  auto Await(const WorkerCall& call,
             const LookCall& look,
             std::int64_t token,
             core::Millis until,
             int generation) -> void {
    auto& worker = workers.at(call.worker);
    if (call.life != worker.info().life) {
      // The connection went with the former life.
      Later(600, [this, call, generation] { Answer(call, {}, generation); });
      return;
    }
    auto result = worker.Look(look, token, now);
    const auto has_news = result.report && !result.report->ended.empty();
    if (result.end == CallEnd::kDone && !has_news && now < until) {
      Later(kStepMs, [this, call, look, token, until, generation] {
        Await(call, look, token, until, generation);
      });
      return;
    }
    Reply(call, result, generation);
  }

  auto Reply(const WorkerCall& call, const CallResult& result, int generation)
      -> void {
    if (Chance(faults.lost)) {
      Later(600, [this, call, generation] { Answer(call, {}, generation); });
      return;
    }
    Later(Span(1, 20), [this, call, result, generation] {
      Answer(call, result, generation);
    });
  }

  auto Answer(const WorkerCall& call, const CallResult& result, int generation)
      -> void {
    if (generation == generation_) {
      dispatcher_->OnResult(call, result, Now());
    }
  }

  auto Act(const WorkerCall& call, std::int64_t token) -> CallResult {
    auto& worker = workers.at(call.worker);
    CallResult result;
    if (const auto* start = std::get_if<StartCall>(&call.what)) {
      const auto& spec = promises.submitted.at(start->task.job);
      const auto& step = spec.steps[static_cast<std::size_t>(start->task.step)];
      const auto need =
          needs.contains(spec.id) ? needs.at(spec.id) : step.estimate_ms;
      const auto running = IsRunningAnywhere(start->task);
      const FakeWork work{need, step.demand, step.checkpoints, step.gang};
      if (worker.Start(*start, token, work, now, result)) {
        promises.OnStart(*start, running, now);
      } else if (result.end == CallEnd::kNoRoom) {
        promises.OnNoRoom(start->task, now);
      }
    } else if (const auto* stop = std::get_if<StopCall>(&call.what)) {
      result = worker.Stop(*stop, token, now);
    } else if (const auto* look = std::get_if<LookCall>(&call.what);
               look != nullptr && call.life == worker.info().life) {
      result = worker.Look(*look, token, now);
    }
    return result;
  }

  auto Note(const FakeRun& run, RunEnd how) -> void {
    promises.OnEnd(run, how, now);
    if (promises.SpecOf(run.task).gang && how != RunEnd::kDone) {
      BreakGang(run);
    }
  }

  auto BreakGang(const FakeRun& ended) -> void {
    for (auto& [id, worker] : workers) {
      for (const auto& [task, run] : std::map(worker.runs())) {
        if (task.job == ended.task.job && task.step == ended.task.step &&
            task.occurrence == ended.task.occurrence &&
            run.attempt == ended.attempt) {
          worker.End(task, RunEnd::kBroken);
        }
      }
    }
  }

  std::mt19937 random_;
  std::unique_ptr<Dispatcher> dispatcher_;
  std::vector<Due> due_;
  bool storing_ = false;
  int generation_ = 0;
};

}  // namespace kcm::dispatch
