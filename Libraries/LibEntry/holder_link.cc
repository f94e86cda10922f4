#include "LibEntry/holder_link.h"

#include <algorithm>
#include <utility>

namespace kcm::entry {

namespace {

using core::ErrorKind;
using core::Millis;

/// Pause before a request is tried again.
constexpr Millis kRetryMs = 40;
/// A request that finds no holder waits this long for one, an eighth of the
/// shortest objective of our users' requests, before it is refused.
constexpr Millis kVacancyWaitMs = 60;
/// Storing takes some ten milliseconds; a connection that stays silent for
/// this long is given up.
constexpr Millis kAttemptMs = 700;
constexpr int kHttpOk = 200;

}  // namespace

auto HolderLink::Ask(const HolderRequest& request,
                     Millis deadline,
                     bool relayed,
                     Done done) -> void {
  Try(std::make_shared<Pending>(Pending{request, core::SuspendAwareNow(),
                                        deadline, relayed, false,
                                        std::move(done)}));
}

auto HolderLink::GiveUp(const Pending& pending) -> void {
  pending.done(
      {pending.in_doubt ? ErrorKind::kOutcomeUnknown : ErrorKind::kNoEndpoint,
       {},
       true});
}

auto HolderLink::Try(const std::shared_ptr<Pending>& pending) -> void {
  const auto now = core::SuspendAwareNow();
  if (now >= pending->deadline) {
    GiveUp(*pending);
    return;
  }
  if (const auto holder = local_()) {
    holder->Handle(pending->request, [this, pending](HolderAnswer answer) {
      if (!answer.not_holder) {
        pending->done(answer);
        return;
      }
      pending->in_doubt =
          pending->in_doubt || answer.error == ErrorKind::kOutcomeUnknown;
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
  loop_.After(kRetryMs, [this, pending] { Try(pending); });
}

auto HolderLink::SendTo(const core::Address& address,
                        const std::shared_ptr<Pending>& pending) -> void {
  const auto left = pending->deadline - core::SuspendAwareNow();
  const net::HttpRequest request{
      "POST",
      kJobPath,
      {},
      {{"content-type", "application/json"},
       {kRelayedHeader,
        address == peers_.belief().address ? "holder" : "relay"}},
      core::Json(pending->request).dump()};
  http_.Send(address, request, std::clamp<Millis>(left, 1, kAttemptMs),
             [this, pending](const net::HttpResult& result) {
               if (result.exchange == net::Exchange::kNeverSent) {
                 TryAgain(pending);
                 return;
               }
               HolderAnswer answer;
               answer.not_holder = true;
               answer.error = ErrorKind::kOutcomeUnknown;
               if (result.exchange == net::Exchange::kAnswered &&
                   result.answer.status == kHttpOk) {
                 const auto document =
                     core::Json::parse(result.answer.body, nullptr, false);
                 if (document.is_object() && document.contains("phase")) {
                   answer = document.get<HolderAnswer>();
                 }
               }
               if (!answer.not_holder) {
                 pending->done(answer);
                 return;
               }
               pending->in_doubt = pending->in_doubt ||
                                   answer.error == ErrorKind::kOutcomeUnknown;
               TryAgain(pending);
             });
}

}  // namespace kcm::entry
