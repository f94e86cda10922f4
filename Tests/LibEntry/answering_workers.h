#pragma once

#include <cstddef>
#include <tuple>
#include <utility>
#include <variant>

#include "LibNet/event_loop.h"
#include "LibPlatform/task_port.h"

namespace kcm::entry {

/// Task port of workers that accept each start and lose its run at once, so
/// that the task is started again for as long as that is allowed.
class AnsweringWorkers : public platform::TaskPort {
 public:
  explicit AnsweringWorkers(net::EventLoop& loop) : loop_(loop) {}

  auto Send(const dispatch::WorkerCall& call,
            std::int64_t fence,
            core::Millis timeout,
            Done done) -> void override {
    std::ignore = std::tuple(fence, timeout);
    starts += std::holds_alternative<dispatch::StartCall>(call.command) ? 1 : 0;
    dispatch::CallResult result;
    result.end = dispatch::CallEnd::kDone;
    if (std::holds_alternative<dispatch::PollCall>(call.command)) {
      result.report = dispatch::PollReport{
          call.incarnation, core::SuspendAwareNow(), {}, {}};
    }
    loop_.After(kAnswerMs, [done = std::move(done), result] { done(result); });
  }

  std::size_t starts = 0;

 private:
  static constexpr core::Millis kAnswerMs = 5;

  net::EventLoop& loop_;
};

}  // namespace kcm::entry
