#pragma once

#include <gtest/gtest.h>

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <variant>
#include <vector>

#include "LibEntry/term_holder.h"
#include "fake_store.h"

namespace kcm::entry {

/// Task port that answers a call when the test says so.
class FakeWorkers : public platform::TaskPort {
 public:
  auto Send(const dispatch::WorkerCall& call,
            std::int64_t fence,
            core::Millis timeout,
            Done done) -> void override {
    std::ignore = std::tuple(fence, timeout);
    sent_at.insert(call.sent_at);
    ++calls;
    if (const auto* start = std::get_if<dispatch::StartCall>(&call.command)) {
      ++starts;
      last_start_until = start->lease_until;
    }
    open.push_back(std::move(done));
  }

  /// @return how to answer the calls that are open.
  auto TakeOpen() -> std::vector<Done> { return std::exchange(open, {}); }

  std::vector<Done> open;
  /// When the calls were issued; those of one pass share the time.
  std::set<core::Millis> sent_at;
  std::size_t calls = 0;
  /// Those that start a task.
  std::size_t starts = 0;
  /// Until when the worker may begin the last one, on its clock.
  core::Millis last_start_until = 0;
};

/// A holder of term 1 with a store and workers in memory.
class TermHolderTest : public testing::Test {
 protected:
  TermHolderTest() {
    core::Reason reason;
    metrics_ = node::Metrics::create(loop_, {"127.0.0.1", 0}, reason);
    claim_.won = true;
    claim_.term = {1, "self", {"127.0.0.1", 9}};
    claim_.sequence = 1;
    store_.Append({EncodeTerm(claim_.term)}, {kWriterName, 1, 1}, std::nullopt,
                  1, [](platform::StoreAppendOutcome) {});
    holder_ = std::make_shared<TermHolder>(
        TermHolderDependencies{loop_, store_, workers_, decoders_, *metrics_},
        settings_, claim_, [this] { lost_ = true; });
    loop_.Every(5, [this] {
      if (ticking_) {
        holder_->RunDueWork();
      }
    });
  }

  auto SendRequest(JobVerb verb, const std::string& job) -> void {
    HolderRequest request;
    request.verb = verb;
    request.job = job;
    request.spec.id = job;
    request.spec.steps = {dispatch::StepSpec{}};
    const auto index = answers_.size();
    answers_.emplace_back();
    holder_->HandleRequest(request, [this, index](const HolderAnswer& answer) {
      answers_[index] = answer;
    });
  }

  auto RunFor(core::Millis span) -> void {
    loop_.After(span, [this] { loop_.Stop(); });
    loop_.Run();
  }

  /// Lists workers and waits until each has been polled.
  auto ListWorkers(std::size_t count) -> void {
    decoders_.decode_worker = [](const std::string& id, const std::string&,
                                 core::Reason&) {
      dispatch::WorkerInfo info;
      info.id = id;
      info.incarnation = 1;
      info.address = {"127.0.0.1", 9};
      return std::optional(info);
    };
    for (std::size_t worker = 0; worker < count; ++worker) {
      store_.tables[platform::Table::kFleet].push_back(
          {"w" + std::to_string(worker), "listed"});
    }
    holder_->Start();
    RunUntil([&] { return workers_.calls == count; });
  }

  /// An answer that lists an unknown run: the next pass sends a stop.
  static auto AnswerWithOrphan() -> dispatch::CallResult {
    dispatch::CallResult result;
    result.end = dispatch::CallEnd::kDone;
    result.report =
        dispatch::PollReport{1, 1, {{{"x", 0, 0, 0}, 1, "", 0}}, {}};
    return result;
  }

  /// Runs until a condition holds; if it never does, the test hangs.
  auto RunUntil(const std::function<bool()>& reached) -> void {
    while (!reached()) {
      RunFor(5);
    }
  }

  net::EventLoop loop_;
  FakeStore store_{loop_};
  FakeWorkers workers_;
  PlatformDecoders decoders_;
  EntrySettings settings_;
  ClaimResult claim_;
  std::unique_ptr<node::Metrics> metrics_;
  std::shared_ptr<TermHolder> holder_;
  std::vector<std::optional<HolderAnswer>> answers_;
  bool ticking_ = true;
  bool lost_ = false;
};

}  // namespace kcm::entry
