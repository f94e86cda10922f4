#include "load_generator.h"

#include <utility>

namespace kcm::load {

namespace {

constexpr core::Millis kSendPeriod = 1;
/// How long after its deadline a response is still awaited.
constexpr core::Millis kResponseGrace = 1000;

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
  ScheduleNext();
  loop_.Every(kSendPeriod, [this] { SendDueRequests(); });
  loop_.Run();
  return std::move(report_);
}

auto LoadGenerator::ScheduleNext() -> void {
  std::exponential_distribution<double> gap(settings_.rate_per_s);
  std::uniform_int_distribution<core::Millis> deadline(
      settings_.min_deadline_ms, settings_.max_deadline_ms);
  const std::chrono::duration<double> wait(gap(random_));
  ++next_.number;
  next_.intended += std::chrono::duration_cast<Clock::duration>(wait);
  next_.deadline_ms = deadline(random_);
  next_.target = (next_.target + 1) % settings_.targets.size();
}

auto LoadGenerator::SendDueRequests() -> void {
  const auto now = Clock::now();
  while (!all_sent_ && next_.intended <= now) {
    if (next_.intended > end_) {
      all_sent_ = true;
      break;
    }
    ++open_requests_;
    SendRequest(next_);
    ScheduleNext();
  }
  if (all_sent_ && open_requests_ == 0) {
    loop_.Stop();
  }
}

auto LoadGenerator::SendRequest(const ScheduledRequest& scheduled) -> void {
  net::HttpRequest request{
      "POST",
      settings_.path,
      {},
      {{"authorization", "Bearer " + settings_.token},
       {"x-request-id", "load-" + std::to_string(scheduled.number)},
       {"x-deadline-ms", std::to_string(scheduled.deadline_ms)}},
      std::string(settings_.body_bytes, 'x')};
  http_.Send(settings_.targets[scheduled.target], request,
             scheduled.deadline_ms + kResponseGrace,
             [this, scheduled](const net::HttpResult& result) {
               HandleResult(scheduled, result);
             });
}

auto LoadGenerator::HandleResult(const ScheduledRequest& scheduled,
                                 const net::HttpResult& result) -> void {
  if (result.exchange == net::Exchange::kNeverSent &&
      scheduled.targets_tried + 1 < settings_.targets.size()) {
    // Like a load balancer, tries the next address when one refuses to connect.
    auto retry = scheduled;
    ++retry.targets_tried;
    retry.target = (retry.target + 1) % settings_.targets.size();
    SendRequest(retry);
    return;
  }
  --open_requests_;
  const auto latency = std::chrono::duration_cast<std::chrono::microseconds>(
      Clock::now() - scheduled.intended);
  std::string conclusion = "no_answer";
  if (result.exchange == net::Exchange::kAnswered) {
    // Minions called directly send no x-conclusion header.
    conclusion = result.response.header("x-conclusion");
    if (conclusion.empty()) {
      conclusion = result.response.status == 200 ? "done" : "failed";
    }
  }
  report_.AddRequest(
      conclusion, latency.count(),
      latency <= std::chrono::milliseconds(scheduled.deadline_ms));
}

}  // namespace kcm::load
