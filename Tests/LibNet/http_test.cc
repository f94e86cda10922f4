#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <optional>
#include <vector>

#include "LibNet/http_client.h"
#include "LibNet/http_server.h"

namespace kcm::net {
namespace {

constexpr core::Millis kTimeout = 5000;

TEST(Http, AnswersSuccessiveRequests) {
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
      EXPECT_EQ(result.response.body, std::to_string(answered));
      EXPECT_EQ(result.response.header("x-echo"), "yes");
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

/// @return a connection to an address.
auto Connect(const core::Address& address) -> int {
  sockaddr_in target{};
  target.sin_family = AF_INET;
  target.sin_port = htons(address.port);
  inet_pton(AF_INET, address.host.c_str(), &target.sin_addr);
  const auto descriptor = socket(AF_INET, SOCK_STREAM, 0);
  EXPECT_EQ(
      connect(descriptor, reinterpret_cast<sockaddr*>(&target), sizeof(target)),
      0);
  return descriptor;
}

/// Sends a text in two writes, the second once the server has read the first.
auto SendInTwoWrites(EventLoop& loop,
                     const core::Address& address,
                     const std::string& text,
                     std::size_t first_bytes) -> int {
  const auto descriptor = Connect(address);
  const int on = 1;
  setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  EXPECT_EQ(write(descriptor, text.data(), first_bytes),
            static_cast<ssize_t>(first_bytes));
  loop.After(2, [descriptor, text, first_bytes] {
    EXPECT_EQ(
        write(descriptor, text.data() + first_bytes, text.size() - first_bytes),
        static_cast<ssize_t>(text.size() - first_bytes));
  });
  return descriptor;
}

// Guards against a job id with one byte too many, read from a request line that
// arrived in two segments (kills-after-acknowledgements, seed 992658546725).
TEST(Http, ReadsARequestSplitAtAnyByte) {
  EventLoop loop;
  core::Reason reason;
  const core::Address address{"127.0.0.1", 17983};
  const std::string text =
      "POST /mifi00/f71feb26e1974de6?a=b HTTP/1.1\r\nHost: nony24.example\r\n"
      "Content-Length: 4\r\n\r\nbody";
  for (std::size_t first_bytes = 1; first_bytes < text.size(); ++first_bytes) {
    HttpRequest received;
    auto server = HttpServer::create(
        loop, address,
        [&](const HttpRequest& request, const HttpReply& reply) {
          received = request;
          reply.Send({200, {}, ""});
          loop.After(0, [&] { loop.Stop(); });
        },
        reason);
    ASSERT_NE(server, nullptr) << reason.message;
    const auto descriptor = SendInTwoWrites(loop, address, text, first_bytes);
    loop.Run();
    close(descriptor);
    EXPECT_EQ(received.path, "/mifi00/f71feb26e1974de6")
        << "cut at " << first_bytes;
    EXPECT_EQ(received.argument("a", ""), "b") << "cut at " << first_bytes;
    EXPECT_EQ(received.header("host"), "nony24.example")
        << "cut at " << first_bytes;
    EXPECT_EQ(received.body, "body") << "cut at " << first_bytes;
  }
}

// A holder of 1,100 workers kept each connection that a burst of starts had
// opened, 4,600 in all; a small VM may have 4,100 descriptors.
TEST(Http, KeepsNoMoreIdleConnectionsThanAllowed) {
  EventLoop loop;
  core::Reason reason;
  const core::Address address{"127.0.0.1", 17984};
  const auto server = HttpServer::create(
      loop, address,
      [&](const HttpRequest&, const HttpReply& reply) {
        loop.After(20, [reply] { reply.Send({200, {}, ""}); });
      },
      reason);
  ASSERT_NE(server, nullptr) << reason.message;
  HttpClient client(loop);
  constexpr int kCalls = 10;
  constexpr std::size_t kMaxIdle = 3;
  client.set_max_idle(kMaxIdle);
  for (int round = 0; round < 2; ++round) {
    int answered = 0;
    for (int call = 0; call < kCalls; ++call) {
      client.Send(address, {"GET", "/", {}, {}, ""}, kTimeout,
                  [&](const HttpResult& result) {
                    EXPECT_EQ(result.exchange, Exchange::kAnswered);
                    if (++answered == kCalls) {
                      loop.Stop();
                    }
                  });
    }
    loop.Run();
    EXPECT_EQ(client.idle_connections(), kMaxIdle);
  }
}

// Only a server that exits ends the connection of a call; one that is cut off
// lets it run into its timeout.
TEST(Http, TellsAnEndedConnectionFromATimeout) {
  EventLoop loop;
  core::Reason reason;
  const core::Address address{"127.0.0.1", 17985};
  std::vector<HttpReply> open;
  std::unique_ptr<HttpServer> server;
  server = HttpServer::create(
      loop, address,
      [&](const HttpRequest&, const HttpReply& reply) {
        open.push_back(reply);
        if (open.size() == 2) {
          loop.After(10, [&] { server.reset(); });
        }
      },
      reason);
  ASSERT_NE(server, nullptr) << reason.message;
  HttpClient client(loop);
  std::vector<HttpResult> results;
  const auto send = [&](core::Millis timeout) {
    client.Send(address, {"GET", "/", {}, {}, ""}, timeout,
                [&](const HttpResult& result) {
                  results.push_back(result);
                  loop.Stop();
                });
    loop.Run();
  };
  send(100);
  send(kTimeout);
  ASSERT_EQ(results.size(), 2U);
  EXPECT_EQ(results[0].exchange, Exchange::kBroken);
  EXPECT_FALSE(results[0].ended_early);
  EXPECT_EQ(results[1].exchange, Exchange::kBroken);
  EXPECT_TRUE(results[1].ended_early);
}

TEST(Http, ReportsNeverSentForAClosedPort) {
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

/// Opens a connection to an address and sends a request on it.
auto SendRaw(const core::Address& address, const std::string& text) -> int {
  const auto descriptor = Connect(address);
  EXPECT_EQ(write(descriptor, text.data(), text.size()),
            static_cast<ssize_t>(text.size()));
  return descriptor;
}

/// @return all that arrives on a connection until its end.
auto ReadUntilEnd(int descriptor) -> std::string {
  std::string text;
  std::array<char, 4096> part{};
  for (ssize_t size = 0;
       (size = read(descriptor, part.data(), part.size())) > 0;) {
    text.append(part.data(), static_cast<std::size_t>(size));
  }
  close(descriptor);
  return text;
}

/// When a process that drains looks whether a request is pending.
struct ExitCase {
  const char* name;
  /// From the answer to the look; nothing for one in the handler itself.
  std::optional<core::Millis> look_after_ms;
  std::size_t body_bytes;
};

class ExitAfterAnswer : public testing::TestWithParam<ExitCase> {};

// Guards against answers lost by a process that drains: it exited once they
// were handed to the HTTP library, before they were written to the connection.
TEST_P(ExitAfterAnswer, TheAnswerIsWrittenWhole) {
  const auto& exit_case = GetParam();
  const core::Address address{"127.0.0.1", 17986};
  const std::string body(exit_case.body_bytes, 'a');
  auto descriptor = -1;
  {
    EventLoop loop;
    core::Reason reason;
    std::function<void()> stop_when_idle;
    const auto server = HttpServer::create(
        loop, address,
        [&](const HttpRequest&, const HttpReply& reply) {
          reply.Send({200, {}, body});
          if (exit_case.look_after_ms) {
            loop.After(*exit_case.look_after_ms, stop_when_idle);
          } else {
            stop_when_idle();
          }
        },
        reason);
    ASSERT_NE(server, nullptr) << reason.message;
    stop_when_idle = [&] {
      if (server->pending() == 0) {
        loop.Stop();
      } else {
        loop.After(1, stop_when_idle);
      }
    };
    descriptor = SendRaw(address, "GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    loop.After(kTimeout, [&] { loop.Stop(); });
    loop.Run();
  }
  const auto answer = ReadUntilEnd(descriptor);
  EXPECT_TRUE(answer.ends_with("\r\n\r\n" + body))
      << answer.size() << " bytes arrived";
}

INSTANTIATE_TEST_SUITE_P(Http,
                         ExitAfterAnswer,
                         testing::Values(ExitCase{"InTheHandler", {}, 20},
                                         ExitCase{"InTheSameTurn", 0, 20},
                                         ExitCase{"InTheNextTurn", 1, 20},
                                         ExitCase{"Long", 0, 1 << 16}),
                         [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace kcm::net
