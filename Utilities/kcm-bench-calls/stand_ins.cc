#include "stand_ins.h"

#include <csignal>
#include <cstdlib>
#include <memory>
#include <random>
#include <utility>
#include <vector>

#include <sys/wait.h>
#include <unistd.h>

#include "LibCore/check.h"
#include "LibNet/http_server.h"
#include "measurement.h"

namespace kcm::bench_calls {

namespace {

constexpr core::Millis kMaxAnswerDelayMs = 20;
constexpr core::Millis kTimeoutMs = 1000;

auto AddressOf(const BenchSettings& settings, std::size_t worker)
    -> core::Address {
  return {"127.0.0.1",
          static_cast<std::uint16_t>(settings.first_port + worker)};
}

}  // namespace

StandIns::StandIns(const std::function<void()>& run) : child_(fork()) {
  KCM_CHECK(child_ >= 0);
  if (child_ == 0) {
    run();
    _exit(0);
  }
}

StandIns::~StandIns() {
  kill(child_, SIGKILL);
  waitpid(child_, nullptr, 0);
}

auto StandIns::Answering(const BenchSettings& settings, std::string body)
    -> StandIns {
  return StandIns([&] {
    net::EventLoop loop;
    std::minstd_rand random;
    std::uniform_int_distribution<core::Millis> delay(0, kMaxAnswerDelayMs);
    std::vector<std::unique_ptr<net::HttpServer>> servers;
    for (std::size_t worker = 0; worker < settings.workers; ++worker) {
      core::Reason reason;
      servers.push_back(net::HttpServer::create(
          loop, AddressOf(settings, worker),
          [&](const net::HttpRequest&, const net::HttpReply& reply) {
            loop.After(delay(random), [&, reply] {
              reply.Send({200, {{"content-type", "application/json"}}, body});
            });
          },
          reason));
      KCM_CHECK(servers.back() != nullptr);
    }
    loop.Run();
  });
}

auto StandIns::Calling(const BenchSettings& settings,
                       const net::HttpRequest& request) -> StandIns {
  return StandIns([&] {
    net::EventLoop loop;
    net::HttpClient http(loop);
    SendAtRate(loop, settings, [&] {
      http.Send(AddressOf(settings, 0), request, kTimeoutMs,
                [](const net::HttpResult&) {});
    });
    loop.Run();
  });
}

}  // namespace kcm::bench_calls
