#include "LibEntry/holder_client.h"
#include "LibCore/event.h"
#include "LibCore/json_decode.h"
#include "LibDispatch/accepted_work.h"
#include "LibNet/http_status.h"

#include <algorithm>
#include <utility>

namespace kcm::entry {

namespace {

using core::ErrorKind;
using core::Millis;

constexpr Millis kRetryPauseMs = 40;
/// How long a change of a job waits for the next holder, which has to claim the
/// term and to read the state. A caller that is refused comes back later than
/// that.
constexpr Millis kTakeoverWaitMs = 500;
/// The same while the store is away, so that nobody can take the term: an
/// eighth of the shortest objective of our users' requests.
constexpr Millis kStoreAwayWaitMs = 60;
/// Timeout of one attempt; storing usually takes some ten milliseconds.
constexpr Millis kAttemptTimeoutMs = 700;

}  // namespace

auto HolderClient::SendRequest(const HolderRequest& request,
                               Millis deadline,
                               bool relayed,
                               Done done) -> void {
  const auto now = core::SuspendAwareNow();
  const auto bytes = dispatch::BytesOfSpec(request.spec);
  if (open_bytes_ > 0 && open_bytes_ + bytes > max_open_bytes_ &&
      request.verb == JobVerb::kSubmit) {
    done({ErrorKind::kQueueFull, {}, false});
    return;
  }
  const auto pending = std::make_shared<PendingRequest>(
      PendingRequest{request, deadline, relayed, std::nullopt, false, false,
                     bytes, std::move(done)});
  open_bytes_ += bytes;
  const auto place = open_.emplace(deadline, pending).first;
  if (closed_) {
    FailRequest(pending);
    return;
  }
  if (place == open_.begin()) {
    expiry_.Set(std::max<Millis>(deadline - now, 0));
  }
  SendAttempt(pending);
}

auto HolderClient::Close() -> void {
  closed_ = true;
  for (const auto& [deadline, pending] : std::set(open_)) {
    // A read changes nothing, and its caller asks elsewhere.
    pending->outcome_unknown =
        pending->outcome_unknown && pending->request.verb != JobVerb::kRead;
    FailRequest(pending);
  }
}

auto HolderClient::Finish(const std::shared_ptr<PendingRequest>& pending,
                          const HolderAnswer& answer) -> void {
  if (!std::exchange(pending->is_answered, true)) {
    open_.erase({pending->deadline, pending});
    open_bytes_ -= pending->bytes;
    std::exchange(pending->done, nullptr)(answer);
  }
}

auto HolderClient::FailRequest(const std::shared_ptr<PendingRequest>& pending)
    -> void {
  Finish(pending, {pending->outcome_unknown ? ErrorKind::kOutcomeUnknown
                                            : ErrorKind::kNoEndpoint,
                   {},
                   true});
}

auto HolderClient::FailExpired() -> void {
  const auto now = core::SuspendAwareNow();
  while (!open_.empty() && open_.begin()->first <= now) {
    FailRequest(std::shared_ptr(open_.begin()->second));
  }
  if (!open_.empty()) {
    expiry_.Set(open_.begin()->first - now);
  }
}

auto HolderClient::SendAttempt(const std::shared_ptr<PendingRequest>& pending)
    -> void {
  if (pending->is_answered) {
    return;
  }
  if (const auto holder = local_holder_()) {
    const auto was_unknown = std::exchange(pending->outcome_unknown, true);
    holder->HandleRequest(pending->request, [this, pending, was_unknown](
                                                const HolderAnswer& answer) {
      if (!answer.not_holder) {
        Finish(pending, answer);
        return;
      }
      pending->outcome_unknown =
          was_unknown || answer.error == ErrorKind::kOutcomeUnknown;
      AwaitHolder(pending);
    });
    return;
  }
  if (const auto address = peers_.RouteToHolder();
      address && !pending->relayed) {
    SendTo(*address, pending);
    return;
  }
  AwaitHolder(pending);
}

auto HolderClient::ScheduleRetry(const std::shared_ptr<PendingRequest>& pending)
    -> void {
  loop_.After(kRetryPauseMs, [this, pending] { SendAttempt(pending); });
}

auto HolderClient::SendTo(const core::Address& address,
                          const std::shared_ptr<PendingRequest>& pending)
    -> void {
  const auto left = pending->deadline - core::SuspendAwareNow();
  const auto was_unknown = std::exchange(pending->outcome_unknown, true);
  const net::HttpRequest request{
      "POST",
      kJobPath,
      {},
      {{"content-type", "application/json"},
       {kRelayedHeader,
        address == peers_.holder_view().address ? "holder" : "relay"}},
      core::ToJsonText(pending->request),
      "relay"};
  http_.Send(
      address, request, std::clamp<Millis>(left, 1, kAttemptTimeoutMs),
      [this, pending, was_unknown](const net::HttpResult& result) {
        if (result.exchange == net::Exchange::kNeverSent) {
          pending->outcome_unknown = was_unknown;
          ScheduleRetry(pending);
          return;
        }
        HolderAnswer answer;
        answer.not_holder = true;
        answer.error = ErrorKind::kOutcomeUnknown;
        if (result.exchange == net::Exchange::kAnswered &&
            result.response.status == net::kHttpOk) {
          core::Reason reason;
          if (auto decoded = DecodeHolderAnswer(result.response.body, reason)) {
            answer = *decoded;
          } else {
            core::LogEvent(core::Event::kBadMessage,
                           {{"path", kJobPath}, {"error", reason.message}});
          }
        }
        if (!answer.not_holder) {
          Finish(pending, answer);
          return;
        }
        pending->outcome_unknown =
            was_unknown || answer.error == ErrorKind::kOutcomeUnknown;
        AwaitHolder(pending);
      });
}

auto HolderClient::AwaitHolder(const std::shared_ptr<PendingRequest>& pending)
    -> void {
  const auto now = core::SuspendAwareNow();
  pending->vacant_since = pending->vacant_since.value_or(now);
  const auto may_take_over = store_answers_();
  // A caller that is refused asks for the same again, and reads change nothing.
  const auto waits_for_holder =
      may_take_over && pending->request.verb == JobVerb::kRead;
  const auto most = may_take_over ? kTakeoverWaitMs : kStoreAwayWaitMs;
  if (pending->relayed || (!pending->outcome_unknown && !waits_for_holder &&
                           now - *pending->vacant_since >= most)) {
    FailRequest(pending);
    return;
  }
  ScheduleRetry(pending);
}

}  // namespace kcm::entry
