#include "load_generator.h"

#include <utility>

namespace kcm::load {

namespace {

constexpr core::Millis kSendPeriod = 1;
/// Answers that come so long after the deadline are no longer awaited.
constexpr core::Millis kGrace = 1000;

}  // namespace

LoadGenerator::LoadGenerator(net::EventLoop& loop, LoadSettings settings)
    : loop_(loop),
      http_(loop),
      settings_(std::move(settings)),
      random_(settings_.seed) {}

auto LoadGenerator::Run() -> LoadReport {
  const auto start = Clock::now();
  const std::chrono::duration<double> span(settings_.seconds);
  end_ = start + std::chrono::duration_cast<Clock::duration>(span);
  next_.intended = start;
  PlanNext();
  loop_.Every(kSendPeriod, [this] { SendDue(); });
  loop_.Run();
  return std::move(report_);
}

auto LoadGenerator::PlanNext() -> void {
  std::exponential_distribution<double> gap(settings_.rate_per_s);
  std::uniform_int_distribution<core::Millis> deadline(
      settings_.min_deadline_ms, settings_.max_deadline_ms);
  const std::chrono::duration<double> wait(gap(random_));
  ++next_.number;
  next_.intended += std::chrono::duration_cast<Clock::duration>(wait);
  next_.deadline_ms = deadline(random_);
  next_.target = (next_.target + 1) % settings_.targets.size();
}

auto LoadGenerator::SendDue() -> void {
  const auto now = Clock::now();
  while (!all_sent_ && next_.intended <= now) {
    if (next_.intended > end_) {
      all_sent_ = true;
      break;
    }
    ++open_;
    Send(next_);
    PlanNext();
  }
  if (all_sent_ && open_ == 0) {
    loop_.Stop();
  }
}

auto LoadGenerator::Send(const Arrival& arrival) -> void {
  net::HttpRequest request{
      "POST",
      settings_.path,
      {},
      {{"authorization", "Bearer " + settings_.token},
       {"x-request-id", "load-" + std::to_string(arrival.number)},
       {"x-deadline-ms", std::to_string(arrival.deadline_ms)}},
      std::string(settings_.body_bytes, 'x')};
  http_.Send(settings_.targets[arrival.target], request,
             arrival.deadline_ms + kGrace,
             [this, arrival](const net::HttpResult& result) {
               OnResult(arrival, result);
             });
}

auto LoadGenerator::OnResult(const Arrival& arrival,
                             const net::HttpResult& result) -> void {
  if (result.exchange == net::Exchange::kNeverSent &&
      arrival.targets_tried + 1 < settings_.targets.size()) {
    // A balancer would not choose an address that refuses connections.
    auto moved = arrival;
    ++moved.targets_tried;
    moved.target = (moved.target + 1) % settings_.targets.size();
    Send(moved);
    return;
  }
  --open_;
  const auto latency = std::chrono::duration_cast<std::chrono::microseconds>(
      Clock::now() - arrival.intended);
  std::string conclusion = "no_answer";
  if (result.exchange == net::Exchange::kAnswered) {
    // Minions called directly give no conclusion.
    conclusion = result.answer.header("x-conclusion");
    if (conclusion.empty()) {
      conclusion = result.answer.status == 200 ? "done" : "failed";
    }
  }
  report_.Add(conclusion, latency.count(),
              latency <= std::chrono::milliseconds(arrival.deadline_ms));
}

}  // namespace kcm::load
