// What a server accepts on one connection, and how it refuses the rest.

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <csignal>
#include <optional>
#include <vector>

#include "LibNet/http_server.h"
#include "raw_client.h"

namespace kcm::net {
namespace {

constexpr std::size_t kMaxHead = 16384;
constexpr std::size_t kMaxBody = 262144;
constexpr HttpLimits kLimits = {.max_header_bytes = kMaxHead,
                                .max_body_bytes = kMaxBody,
                                .header_timeout_ms = 200,
                                .idle_timeout_ms = 400};
const core::Address kAddress{"127.0.0.1", 17987};

/// More than the system takes for a client that does not read.
constexpr std::size_t kLongAnswer = std::size_t{16} * 1024 * 1024;

auto Body(std::size_t bytes, char letter = 'b') -> std::string {
  return std::string(bytes, letter);
}

class HttpLimitsTest : public testing::Test {
 protected:
  auto Start(const HttpLimits& limits,
             const ConnectionBounds& bounds = MakeConnectionBounds(512, 4000))
      -> void {
    // As the programs do, for clients that write after the server has closed.
    std::signal(SIGPIPE, SIG_IGN);
    table_ = std::make_shared<ConnectionTable>(bounds);
    core::Reason reason;
    server_ = HttpServer::create(
        loop_, kAddress,
        [this](const HttpRequest& request, const HttpReply& reply) {
          ++handled_;
          reply.Send({200,
                      {},
                      request.path == "/long"
                          ? Body(kLongAnswer)
                          : std::to_string(request.body.size()) + ";"});
        },
        reason, limits, table_);
    ASSERT_NE(server_, nullptr) << reason.message;
  }

  /// Sends a text and returns all that the server answers until it closes.
  auto Exchange(const std::string& text) -> std::string {
    RawClient client(loop_, kAddress);
    client.Send(text);
    EXPECT_TRUE(RunUntil(loop_, [&] { return client.is_closed(); }));
    return client.received();
  }

  /// @return whether the server still answers an ordinary request.
  auto Answers() -> bool {
    return Exchange("GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
        .starts_with("HTTP/1.1 200 ");
  }

  EventLoop loop_;
  std::shared_ptr<ConnectionTable> table_;
  std::unique_ptr<HttpServer> server_;
  int handled_ = 0;
};

/// A POST with some more header lines.
auto Post(const std::string& lines, const std::string& body) -> std::string {
  return "POST / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n" + lines +
         "\r\n" + body;
}

auto Repeat(const std::string& text, std::size_t count) -> std::string {
  std::string all;
  for (std::size_t index = 0; index < count; ++index) {
    all += text;
  }
  return all;
}

/// A head of exactly the bytes, with a body of the length that it gives.
auto PostWithHeadOf(std::size_t bytes, const std::string& body) -> std::string {
  const auto length =
      "Content-Length: " + std::to_string(body.size()) + "\r\nX-Filler: ";
  const auto rest = Post(length + "\r\n", "").size();
  return Post(length + Body(bytes - rest, 'f') + "\r\n", body);
}

struct RequestCase {
  const char* name;
  std::string text;
  std::string status;
  std::optional<RefusalKind> kind;
};

class Requests : public HttpLimitsTest,
                 public testing::WithParamInterface<RequestCase> {};

// Guards against requests within the limits that are refused, and against
// requests beyond them that run, or whose client gets no status because the
// connection is reset while it still sends.
TEST_P(Requests, AreServedWithinTheLimitsAndRefusedBeyond) {
  const auto& request = GetParam();
  Start(kLimits);
  const auto answer = Exchange(request.text);
  EXPECT_TRUE(answer.starts_with("HTTP/1.1 " + request.status)) << answer;
  EXPECT_EQ(handled_, request.kind ? 0 : 1);
  if (request.kind) {
    EXPECT_NE(answer.find("Connection: close"), std::string::npos) << answer;
    EXPECT_EQ(table_->refusals().total(*request.kind), 1);
  }
  EXPECT_TRUE(Answers());
  EXPECT_EQ(table_->connections(), 0U);
  EXPECT_EQ(table_->bytes(), 0U);
}

const std::string kChunked = "Transfer-Encoding: chunked\r\n";

auto LengthOf(std::size_t bytes) -> std::string {
  return "Content-Length: " + std::to_string(bytes) + "\r\n";
}

INSTANTIATE_TEST_SUITE_P(
    Texts,
    Requests,
    testing::Values(
        RequestCase{"LongestHead", PostWithHeadOf(kMaxHead, "b"), "200", {}},
        RequestCase{"LongestHeadAndBody",
                    PostWithHeadOf(kMaxHead, Body(kMaxBody)),
                    "200",
                    {}},
        RequestCase{"LongestBody",
                    Post(LengthOf(kMaxBody), Body(kMaxBody)),
                    "200",
                    {}},
        RequestCase{
            "LongestBodyInOneChunk",
            Post(kChunked, "40000\r\n" + Body(kMaxBody) + "\r\n0\r\n\r\n"),
            "200",
            {}},
        RequestCase{
            "LongestBodyInChunksOfAByte",
            Post(kChunked, Repeat("1\r\nb\r\n", kMaxBody) + "0\r\n\r\n"),
            "200",
            {}},
        RequestCase{"EmptyLinesWithoutEnd", Repeat("\r\n", kMaxHead), "400",
                    RefusalKind::kMalformed},
        RequestCase{"HeadTooLong", PostWithHeadOf(2 * kMaxHead, "b"), "431",
                    RefusalKind::kHeadTooLong},
        RequestCase{"HeadOfShortLines", Post(Repeat("a:b\r\n", kMaxHead), ""),
                    "431", RefusalKind::kHeadTooLong},
        RequestCase{"HeadWithoutEnd",
                    "GET /" + Body(std::size_t{20} * kMaxHead), "431",
                    RefusalKind::kHeadTooLong},
        RequestCase{"AnnouncedBodyTooLong",
                    Post(LengthOf(kMaxBody + 1), Body(kMaxBody + 1)), "413",
                    RefusalKind::kBodyTooLong},
        RequestCase{"AnnouncedBodyFarTooLong",
                    Post(LengthOf(1000000000000000), Body(kMaxBody)), "413",
                    RefusalKind::kBodyTooLong},
        RequestCase{
            "ChunksTooLong",
            Post(kChunked, Repeat("400\r\n" + Body(1024) + "\r\n", 300)), "413",
            RefusalKind::kBodyTooLong},
        RequestCase{"ChunkSizeWithoutEnd",
                    Post(kChunked, Body(std::size_t{2} * kMaxBody, '0')), "413",
                    RefusalKind::kBodyTooLong},
        RequestCase{"ChunkExtensionWithoutEnd",
                    Post(kChunked, "4;" + Body(std::size_t{2} * kMaxBody)),
                    "413", RefusalKind::kBodyTooLong},
        RequestCase{"HeaderWithoutColon", Post("nonsense\r\n", ""), "400",
                    RefusalKind::kMalformed},
        RequestCase{"LengthWithoutMeaning", Post("Content-Length: x\r\n", "b"),
                    "400", RefusalKind::kMalformed}),
    [](const auto& info) { return info.param.name; });

struct PauseCase {
  const char* name;
  std::string text;
  std::string status;
  RefusalKind kind;
};

class Pauses : public HttpLimitsTest,
               public testing::WithParamInterface<PauseCase> {};

// Guards against connections that are held open without a request.
TEST_P(Pauses, EndTheConnection) {
  Start(kLimits);
  const auto answer = Exchange(GetParam().text);
  EXPECT_TRUE(answer.starts_with(GetParam().status)) << answer;
  EXPECT_EQ(handled_, 0);
  EXPECT_EQ(table_->refusals().total(GetParam().kind), 1);
  EXPECT_TRUE(Answers());
}

INSTANTIATE_TEST_SUITE_P(
    Texts,
    Pauses,
    testing::Values(PauseCase{"BeforeAnyByte", "", "", RefusalKind::kIdle},
                    PauseCase{"InTheHead", "GET / HT", "HTTP/1.1 408",
                              RefusalKind::kTooSlow},
                    PauseCase{"InTheBody", Post(LengthOf(9), "b"),
                              "HTTP/1.1 408", RefusalKind::kTooSlow}),
    [](const auto& info) { return info.param.name; });

// Guards against a client that sends its next requests ahead and is taken for
// one that sends too much.
TEST_F(HttpLimitsTest, ServesRequestsThatWereSentAhead) {
  Start(kLimits);
  constexpr int kCalls = 20;
  const auto body = Body(kMaxBody / 4);
  const auto call =
      "POST / HTTP/1.1\r\nHost: a\r\n" + LengthOf(body.size()) + "\r\n" + body;
  const auto answer = Exchange(Repeat(call, kCalls) + Post(LengthOf(1), "b"));
  EXPECT_EQ(handled_, kCalls + 1);
  EXPECT_TRUE(answer.ends_with("\r\n\r\n1;")) << answer;
  EXPECT_EQ(table_->bytes(), 0U);
}

// Guards against peers whose connection ends between two messages.
TEST_F(HttpLimitsTest, KeepsIdleConnectionsWithoutATimeLimit) {
  Start({});
  RawClient idle(loop_, kAddress);
  RawClient slow(loop_, kAddress);
  slow.Send("GET / HT");
  EXPECT_FALSE(RunUntil(
      loop_, [&] { return idle.is_closed() || slow.is_closed(); },
      4 * kLimits.idle_timeout_ms));
  slow.Send("TP/1.1\r\nHost: a\r\n\r\n");
  EXPECT_TRUE(RunUntil(loop_, [&] { return handled_ == 1; }));
}

// Guards against limits that apply only after a restart.
TEST_F(HttpLimitsTest, AppliesNewLimitsToOpenConnections) {
  Start(kLimits);
  RawClient client(loop_, kAddress);
  client.Send("POST / HTTP/1.1\r\nHost: a\r\n" + LengthOf(1000) + "\r\n" +
              Body(1000));
  EXPECT_TRUE(RunUntil(loop_, [&] { return handled_ == 1; }));
  auto limits = kLimits;
  limits.max_body_bytes = 999;
  server_->SetLimits(limits);
  client.Send("POST / HTTP/1.1\r\nHost: a\r\n" + LengthOf(1000) + "\r\n" +
              Body(1000));
  EXPECT_TRUE(RunUntil(loop_, [&] { return client.is_closed(); }));
  EXPECT_EQ(handled_, 1);
  EXPECT_NE(client.received().find("HTTP/1.1 413 "), std::string::npos);
}

// Guards against more connections than the process may have, and against
// ordinary callers that get none.
TEST_F(HttpLimitsTest, HasNoMoreConnectionsThanAllowed) {
  constexpr std::size_t kMaxConnections = 10;
  Start(kLimits, {1000000, kMaxConnections});
  std::vector<std::unique_ptr<RawClient>> crowd;
  std::size_t most = 0;
  for (std::size_t index = 0; index < 5 * kMaxConnections; ++index) {
    crowd.push_back(std::make_unique<RawClient>(loop_, kAddress));
  }
  RunUntil(loop_, [&] {
    most = std::max(most, table_->connections());
    return table_->refusals().total(RefusalKind::kConnections) >=
           static_cast<std::int64_t>(4 * kMaxConnections);
  });
  EXPECT_LE(most, kMaxConnections + 1);
  EXPECT_TRUE(Answers());
}

// Guards against bytes of many connections that are each within the limits.
TEST_F(HttpLimitsTest, HoldsNoMoreThanAllowedForAllConnections) {
  constexpr std::size_t kMaxBytes = 2000000;
  Start(kLimits, {kMaxBytes, 1000});
  std::vector<std::unique_ptr<RawClient>> crowd;
  for (int index = 0; index < 30; ++index) {
    crowd.push_back(std::make_unique<RawClient>(loop_, kAddress));
    crowd.back()->Send(Post(LengthOf(kMaxBody), Body(kMaxBody - 1)));
  }
  std::size_t most = 0;
  RunUntil(loop_, [&] {
    most = std::max(most, table_->bytes());
    return table_->refusals().total(RefusalKind::kMemory) >= 20;
  });
  EXPECT_LE(most, kMaxBytes);
  EXPECT_TRUE(Answers());
}

// Guards against answers that pile up for clients that do not read them.
TEST_F(HttpLimitsTest, HoldsNoMoreThanAllowedForAnswersThatNobodyReads) {
  constexpr std::size_t kMaxBytes = 3 * kLongAnswer;
  Start(kLimits, {kMaxBytes, 1000});
  std::vector<std::unique_ptr<RawClient>> crowd;
  for (int index = 0; index < 10; ++index) {
    crowd.push_back(std::make_unique<RawClient>(loop_, kAddress));
    crowd.back()->StopReading();
    crowd.back()->Send("GET /long HTTP/1.1\r\nHost: a\r\n\r\n");
  }
  std::size_t most = 0;
  RunUntil(loop_, [&] {
    most = std::max(most, table_->bytes());
    return table_->refusals().total(RefusalKind::kMemory) >= 6;
  });
  EXPECT_EQ(handled_, 10);
  EXPECT_LE(most, kMaxBytes);
  EXPECT_TRUE(Answers());
}

// Guards against answers that are held for ever for a client that does not
// read.
TEST_F(HttpLimitsTest, EndsAConnectionWhoseAnswerNobodyReads) {
  Start(kLimits);
  RawClient client(loop_, kAddress);
  client.StopReading();
  client.Send("GET /long HTTP/1.1\r\nHost: a\r\n\r\n");
  EXPECT_TRUE(RunUntil(loop_, [&] {
    return table_->refusals().total(RefusalKind::kTooSlow) == 1;
  }));
  EXPECT_EQ(handled_, 1);
  EXPECT_TRUE(Answers());
  EXPECT_EQ(server_->pending(), 0);
  EXPECT_EQ(table_->bytes(), 0U);
}

/// A request, or what is left of it after some changes.
auto GenerateText() -> rc::Gen<std::string> {
  return rc::gen::exec([] {
    auto text = *rc::gen::elementOf(std::vector<std::string>{
        "GET /a?b=c HTTP/1.1\r\nHost: a\r\n\r\n", Post(LengthOf(4), "body"),
        Post(kChunked, "4\r\nbody\r\n0\r\nX: y\r\n\r\n"),
        Post("Expect: 100-continue\r\n" + LengthOf(4), "body"),
        "HEAD / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n",
        "OPTIONS * HTTP/1.1\r\nHost: a\r\n\r\n", ""});
    const auto changes = *rc::gen::inRange(0, 4);
    for (int change = 0; change < changes; ++change) {
      const auto piece = *rc::gen::oneOf(
          rc::gen::elementOf(std::vector<std::string>{
              "\r\n", "\n", "\r", ":", " ", std::string(1, '\0'), "\r\n\r\n",
              "Content-Length: 18446744073709551616\r\n",
              "Content-Length: -1\r\n", "Transfer-Encoding: chunked\r\n",
              "ffffffffffffffff\r\n", "7fffffffffffffff\r\n", "-1\r\n",
              "GET / HTTP/1.1\r\n\r\n", Body(5000)}),
          rc::gen::arbitrary<std::string>());
      const auto at = *rc::gen::inRange<std::size_t>(0, text.size() + 1);
      const auto size = *rc::gen::inRange<std::size_t>(0, 6);
      text.replace(at, size, piece);
    }
    return text;
  });
}

// Guards against bytes that end or stop the process, or leave anything behind.
RC_GTEST_FIXTURE_PROP(HttpLimitsTest, SurvivesAnyBytes, ()) {
  Start(kLimits, {1000000, 4});
  {
    std::vector<std::unique_ptr<RawClient>> clients;
    const auto count = *rc::gen::inRange(1, 6);
    int sent = 0;
    for (int index = 0; index < count; ++index) {
      const auto text = *GenerateText();
      const auto cut = *rc::gen::inRange<std::size_t>(0, text.size() + 1);
      clients.push_back(std::make_unique<RawClient>(loop_, kAddress));
      auto* client = clients.back().get();
      client->Send(text.substr(0, cut));
      loop_.After(1, [client, text, cut, &sent] {
        client->Send(text.substr(cut));
        client->EndSending();
        ++sent;
      });
    }
    RC_ASSERT(RunUntil(loop_, [&] {
      return sent == count &&
             std::all_of(clients.begin(), clients.end(),
                         [](const auto& row) { return row->is_closed(); });
    }));
  }
  RC_ASSERT(Answers());
  RC_ASSERT(RunUntil(loop_, [&] { return table_->connections() == 0; }));
  RC_ASSERT(table_->bytes() == 0U);
  server_.reset();
}

}  // namespace
}  // namespace kcm::net
