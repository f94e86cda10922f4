#include <gtest/gtest.h>

#include "LibNet/http_client.h"
#include "LibNet/http_server.h"

namespace kcm::net {
namespace {

constexpr core::Millis kTimeout = 5000;

TEST(Http, AnswersOnOneConnectionAgainAndAgain) {
  EventLoop loop;
  core::Reason reason;
  const core::Address address{"127.0.0.1", 17981};
  auto server = HttpServer::create(
      loop, address,
      [&](const HttpRequest& request, const HttpReply& reply) {
        loop.After(1, [request, reply] {
          reply.Send({200, {{"x-echo", "yes"}}, request.body});
        });
      },
      reason);
  ASSERT_NE(server, nullptr) << reason.message;
  HttpClient client(loop);
  int answered = 0;
  std::function<void()> send = [&] {
    const HttpRequest request{
        "POST", "/v1/echo", {}, {}, std::to_string(answered)};
    client.Send(address, request, kTimeout, [&](const HttpResult& result) {
      ASSERT_EQ(result.exchange, Exchange::kAnswered);
      EXPECT_EQ(result.answer.body, std::to_string(answered));
      EXPECT_EQ(result.answer.header("x-echo"), "yes");
      if (++answered == 20) {
        loop.Stop();
        return;
      }
      send();
    });
  };
  send();
  loop.Run();
  EXPECT_EQ(server->pending(), 0);
}

TEST(Http, ReportsThatNothingWasSentToAClosedPort) {
  EventLoop loop;
  HttpClient client(loop);
  auto exchange = Exchange::kAnswered;
  client.Send({"127.0.0.1", 17982}, {"GET", "/", {}, {}, ""}, kTimeout,
              [&](const HttpResult& result) {
                exchange = result.exchange;
                loop.Stop();
              });
  loop.Run();
  EXPECT_EQ(exchange, Exchange::kNeverSent);
}

}  // namespace
}  // namespace kcm::net
