#include "LibEntry/http_heartbeat_port.h"

#include <utility>

#include "LibCore/event.h"
#include "LibCore/json_decode.h"
#include "LibNet/http_status.h"

namespace kcm::entry {

namespace {

/// A heartbeat is lost after this; a round trip between regions takes 40 ms.
constexpr core::Millis kHeartbeatTimeoutMs = 400;

}  // namespace

auto HttpHeartbeatPort::Send(const core::Address& peer,
                             const PeerHeartbeat& heartbeat,
                             Done done) -> void {
  const net::HttpRequest request{"POST",
                                 kHeartbeatPath,
                                 {},
                                 {{"content-type", "application/json"}},
                                 core::ToJsonText(heartbeat),
                                 "heartbeat"};
  http_.Send(peer, request, kHeartbeatTimeoutMs,
             [peer, done = std::move(done)](const net::HttpResult& result) {
               if (result.exchange != net::Exchange::kAnswered ||
                   result.response.status != net::kHttpOk) {
                 done(std::nullopt);
                 return;
               }
               core::Reason reason;
               auto answer = DecodeHeartbeat(result.response.body, reason);
               if (!answer) {
                 core::LogEvent(
                     core::Event::kBadMessage,
                     {{"from", peer.ToString()}, {"error", reason.message}});
               }
               done(std::move(answer));
             });
}

}  // namespace kcm::entry
