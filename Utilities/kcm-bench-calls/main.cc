#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <cxxopts.hpp>
#include <iostream>
#include <string>
#include <string_view>

#include "LibCore/event.h"
#include "LibEntry/holder_request.h"
#include "LibEntry/http_heartbeat_port.h"
#include "LibEntry/peer_monitor.h"
#include "LibNet/http_server.h"
#include "measurement.h"
#include "platform/store_client.h"
#include "platform/worker_client.h"
#include "stand_ins.h"

namespace kcm::bench_calls {

namespace {

using core::Json;

constexpr int kExitUsage = 2;
constexpr core::Millis kTimeoutMs = 1000;

/// Sends one exchange to a worker; `done` takes whether it was answered.
using SendExchange = std::function<void(const core::Address& server,
                                        const std::function<void(bool)>& done)>;

auto MeasureSending(
    const BenchSettings& settings,
    const std::string& answer,
    const std::function<SendExchange(net::HttpClient&)>& make_send)
    -> Measurement {
  const auto stand_ins = StandIns::Answering(settings, answer);
  net::EventLoop loop;
  net::HttpClient http(loop);
  Measurement measurement;
  const auto send = make_send(http);
  std::size_t next = 0;
  SendAtRate(loop, settings, [&] {
    const auto port = settings.first_port + next++ % settings.workers;
    send({"127.0.0.1", static_cast<std::uint16_t>(port)}, [&](bool answered) {
      ++measurement.exchanges;
      measurement.failed += answered ? 0 : 1;
    });
  });
  Measure(loop, settings, measurement);
  return measurement;
}

auto MeasureServing(const BenchSettings& settings,
                    const Json& request,
                    const std::function<Json(const Json&)>& handle)
    -> Measurement {
  const auto stand_ins =
      StandIns::Calling(settings, {"POST",
                                   "/",
                                   {},
                                   {{"content-type", "application/json"}},
                                   request.dump()});
  net::EventLoop loop;
  Measurement measurement;
  core::Reason reason;
  const auto server = net::HttpServer::create(
      loop, {"127.0.0.1", settings.first_port},
      [&](const net::HttpRequest& received, const net::HttpReply& reply) {
        reply.SendJson(200, handle(Json::parse(received.body)));
        ++measurement.exchanges;
      },
      reason);
  if (server != nullptr) {
    Measure(loop, settings, measurement);
  }
  return measurement;
}

auto MakeWorkerCall(const core::Address& server) -> dispatch::WorkerCall {
  return {"minion-1", 1, server, 0, dispatch::PollCall{1000, 57, 0, false}};
}

auto MeasureWorkerCalls(const BenchSettings& settings,
                        const Json& answer,
                        const decltype(dispatch::WorkerCall::command)& command)
    -> Measurement {
  return MeasureSending(
      settings, answer.dump(), [&](net::HttpClient& http) -> SendExchange {
        return [&http, command](const core::Address& server,
                                const std::function<void(bool)>& done) {
          auto call = MakeWorkerCall(server);
          call.command = command;
          adapter::WorkerClient(http).Send(
              call, 1, kTimeoutMs, [done](const dispatch::CallResult& result) {
                done(result.end == dispatch::CallEnd::kDone);
              });
        };
      });
}

auto MeasurePolls(const BenchSettings& settings) -> Measurement {
  Json answer = {{"clock_ms", 482113},
                 {"born", 1796396400000},
                 {"running", Json::array()},
                 {"ended_runs", Json::array()}};
  for (std::size_t run = 0; run < settings.runs_per_worker; ++run) {
    answer["running"].push_back({"5c0e7a21d94b36f8.0.1." + std::to_string(run),
                                 2, "00000bb87a21d94b", 41});
  }
  answer["ended_runs"].push_back(
      {58, "5c0e7a21d94b36f8.0.1.99", 1, "done", ""});
  return MeasureWorkerCalls(settings, answer,
                            dispatch::PollCall{486000, 57, 0, false});
}

auto MeasureStarts(const BenchSettings& settings) -> Measurement {
  dispatch::WorkerCall call;
  auto& start = call.command.emplace<dispatch::StartCall>();
  start.task = {"5c0e7a21d94b36f8", 0, 1, 17};
  start.attempt = 2;
  start.payload.assign(settings.payload_bytes, 'x');
  start.lease_until = 486000;
  return MeasureWorkerCalls(settings, {{"clock_ms", 482113}}, call.command);
}

auto MeasureAppends(const BenchSettings& settings) -> Measurement {
  const std::vector<dispatch::StateRow> rows(
      settings.rows_per_append, {"t/5c0e7a21d94b36f8.0.1.17", "0123456789"});
  return MeasureSending(
      settings, R"({"offset":1,"end_offset":9})",
      [&](net::HttpClient& http) -> SendExchange {
        return [&](const core::Address& server,
                   const std::function<void(bool)>& done) {
          adapter::StoreClient(http, server)
              .Append(
                  rows, {"kcm", 1, 1}, std::nullopt, kTimeoutMs,
                  [done](platform::StoreAppendOutcome outcome) {
                    done(outcome == platform::StoreAppendOutcome::kAppended);
                  });
        };
      });
}

auto MeasureHeartbeats(const BenchSettings& settings) -> Measurement {
  entry::PeerHeartbeat heartbeat;
  heartbeat.name = "entry-2";
  heartbeat.address = "127.0.0.1:1";
  for (std::size_t peer = 0; peer < settings.peers; ++peer) {
    heartbeat.notes.push_back({"127.0.0.1:" + std::to_string(1 + peer)});
  }
  net::EventLoop idle_loop;
  net::HttpClient http(idle_loop);
  entry::HttpHeartbeatPort port(http);
  entry::PeerMonitor peers(port, {},
                           [] { return entry::PeerMonitor::LocalState{}; });
  return MeasureServing(settings, heartbeat, [&](const Json& received) {
    return Json(peers.HandleHeartbeat(received.get<entry::PeerHeartbeat>()));
  });
}

auto MeasureReads(const BenchSettings& settings) -> Measurement {
  entry::HolderRequest request;
  request.job = "5c0e7a21d94b36f8";
  return MeasureServing(settings, request, [](const Json& received) {
    std::ignore = received.get<entry::HolderRequest>();
    return Json(entry::HolderAnswer{});
  });
}

auto MeasureLogLines(const BenchSettings& settings) -> Measurement {
  core::SetUpLogging("entry-1", true, core::LogSink::kStandardOutput);
  net::EventLoop loop;
  Measurement measurement;
  SendAtRate(loop, settings, [&] {
    core::LogEvent(core::Event::kRunEnded, {{"job", "5c0e7a21d94b36f8"},
                                            {"task", 17},
                                            {"attempt", 2},
                                            {"worker", "minion-1"},
                                            {"how", "done"}});
    ++measurement.exchanges;
  });
  Measure(loop, settings, measurement);
  return measurement;
}

/// The cost of the loop and the timer alone, which the other kinds include.
auto MeasureTimer(const BenchSettings& settings) -> Measurement {
  net::EventLoop loop;
  Measurement measurement;
  SendAtRate(loop, settings, [&] { ++measurement.exchanges; });
  Measure(loop, settings, measurement);
  return measurement;
}

struct KindRow {
  std::string_view name;
  auto(*measure)(const BenchSettings& settings) -> Measurement;
};

constexpr std::array kKinds = {
    KindRow{"timer", MeasureTimer},          KindRow{"poll", MeasurePolls},
    KindRow{"start", MeasureStarts},         KindRow{"append", MeasureAppends},
    KindRow{"heartbeat", MeasureHeartbeats}, KindRow{"read", MeasureReads},
    KindRow{"log", MeasureLogLines},
};

auto Main(int argc, const char* const* argv) -> int {
  cxxopts::Options options("kcm-bench-calls",
                           "Prints what one exchange of the term holder costs "
                           "this process, by kind.");
  options.add_options()("kinds", "timer,poll,start,append,heartbeat,read,log",
                        cxxopts::value<std::vector<std::string>>())(
      "rate", "exchanges a second",
      cxxopts::value<std::int64_t>()->default_value("500"))(
      "span-ms", "span of each measurement",
      cxxopts::value<std::int64_t>()->default_value("3000"))(
      "first-port", "first of the loopback ports used",
      cxxopts::value<std::uint16_t>()->default_value("23000"))(
      "help", "print this text");
  BenchSettings settings;
  std::vector<std::string> wanted;
  try {
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") != 0) {
      std::cout << options.help() << "\n";
      return 0;
    }
    settings.rate_per_s = parsed["rate"].as<std::int64_t>();
    settings.span_ms = parsed["span-ms"].as<std::int64_t>();
    settings.first_port = parsed["first-port"].as<std::uint16_t>();
    if (parsed.count("kinds") != 0) {
      wanted = parsed["kinds"].as<std::vector<std::string>>();
    }
  } catch (const std::exception& error) {
    std::cerr << "kcm-bench-calls: " << error.what() << "\n";
    return kExitUsage;
  }
  // Log lines go to the null device, the result to standard output.
  const auto output = dup(STDOUT_FILENO);
  dup2(open("/dev/null", O_WRONLY | O_CLOEXEC), STDOUT_FILENO);
  auto result = Json::object();
  for (const auto& kind : kKinds) {
    if (wanted.empty() ||
        std::find(wanted.begin(), wanted.end(), kind.name) != wanted.end()) {
      result[std::string(kind.name)] = kind.measure(settings).ToJson();
    }
  }
  const auto text = result.dump() + "\n";
  return write(output, text.data(), text.size()) < 0 ? 1 : 0;
}

}  // namespace

}  // namespace kcm::bench_calls

auto main(int argc, char** argv) -> int {
  return kcm::bench_calls::Main(argc, argv);
}
