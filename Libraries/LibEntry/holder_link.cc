#include "LibEntry/holder_link.h"
#include "LibNet/http_status.h"

#include <algorithm>
#include <utility>

namespace kcm::entry {

namespace {

using core::ErrorKind;
using core::Millis;

/// Pause before a request is tried again.
constexpr Millis kRelayRetryMs = 40;
/// A request that finds no holder waits this long for one, an eighth of the
/// shortest objective of our users' requests, before it is refused.
constexpr Millis kVacancyWaitMs = 60;
/// Storing takes some ten milliseconds; a connection that stays silent for
/// this long is given up.
constexpr Millis kAttemptMs = 700;

}  // namespace

auto HolderLink::Ask(const HolderRequest& request,
                     Millis deadline,
                     bool relayed,
                     Done done) -> void {
  const auto now = core::SuspendAwareNow();
  const auto pending = std::make_shared<Pending>(
      Pending{request, now, deadline, relayed, false, false, std::move(done)});
  loop_.After(std::max<Millis>(deadline - now, 0),
              [pending] { GiveUp(*pending); });
  Try(pending);
}

auto HolderLink::Finish(Pending& pending, const HolderAnswer& answer) -> void {
  if (!std::exchange(pending.is_answered, true)) {
    std::exchange(pending.done, nullptr)(answer);
  }
}

auto HolderLink::GiveUp(Pending& pending) -> void {
  Finish(pending, {pending.in_doubt ? ErrorKind::kOutcomeUnknown
                                    : ErrorKind::kNoEndpoint,
                   {},
                   true});
}

auto HolderLink::Try(const std::shared_ptr<Pending>& pending) -> void {
  if (pending->is_answered) {
    return;
  }
  const auto now = core::SuspendAwareNow();
  if (const auto holder = local_()) {
    const auto was_in_doubt = std::exchange(pending->in_doubt, true);
    holder->Handle(pending->request, [this, pending, was_in_doubt](
                                         const HolderAnswer& answer) {
      if (!answer.not_holder) {
        Finish(*pending, answer);
        return;
      }
      pending->in_doubt =
          was_in_doubt || answer.error == ErrorKind::kOutcomeUnknown;
      TryAgain(pending);
    });
    return;
  }
  if (pending->relayed) {
    GiveUp(*pending);
    return;
  }
  if (const auto address = peers_.HolderRoute()) {
    SendTo(*address, pending);
    return;
  }
  if (!pending->in_doubt && now - pending->asked_at >= kVacancyWaitMs) {
    GiveUp(*pending);
    return;
  }
  TryAgain(pending);
}

auto HolderLink::TryAgain(const std::shared_ptr<Pending>& pending) -> void {
  loop_.After(kRelayRetryMs, [this, pending] { Try(pending); });
}

auto HolderLink::SendTo(const core::Address& address,
                        const std::shared_ptr<Pending>& pending) -> void {
  const auto left = pending->deadline - core::SuspendAwareNow();
  const auto was_in_doubt = std::exchange(pending->in_doubt, true);
  const net::HttpRequest request{
      "POST",
      kJobPath,
      {},
      {{"content-type", "application/json"},
       {kRelayedHeader,
        address == peers_.belief().address ? "holder" : "relay"}},
      core::Json(pending->request).dump()};
  http_.Send(address, request, std::clamp<Millis>(left, 1, kAttemptMs),
             [this, pending, was_in_doubt](const net::HttpResult& result) {
               if (result.exchange == net::Exchange::kNeverSent) {
                 pending->in_doubt = was_in_doubt;
                 TryAgain(pending);
                 return;
               }
               HolderAnswer answer;
               answer.not_holder = true;
               answer.error = ErrorKind::kOutcomeUnknown;
               if (result.exchange == net::Exchange::kAnswered &&
                   result.answer.status == net::kHttpOk) {
                 const auto document =
                     core::Json::parse(result.answer.body, nullptr, false);
                 if (document.is_object() && document.contains("phase")) {
                   answer = document.get<HolderAnswer>();
                 }
               }
               if (!answer.not_holder) {
                 Finish(*pending, answer);
                 return;
               }
               pending->in_doubt =
                   was_in_doubt || answer.error == ErrorKind::kOutcomeUnknown;
               TryAgain(pending);
             });
}

}  // namespace kcm::entry
