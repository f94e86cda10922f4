#include <algorithm>
#include <cxxopts.hpp>
#include <iostream>

#include "LibCore/address.h"
#include "load_generator.h"

namespace kcm::load {

namespace {

constexpr int kExitUsage = 2;

auto ReadSettings(const cxxopts::ParseResult& parsed, LoadSettings& settings)
    -> bool {
  for (const auto& text : parsed["targets"].as<std::vector<std::string>>()) {
    core::Reason reason;
    const auto address = core::ParseAddress(text, "targets", reason);
    if (!address) {
      std::cerr << "kcm-load: " << reason.message << "\n";
      return false;
    }
    settings.targets.push_back(*address);
  }
  settings.path = parsed["path"].as<std::string>();
  settings.token = parsed["token"].as<std::string>();
  settings.rate_per_s = parsed["rate"].as<double>();
  settings.seconds = parsed["seconds"].as<double>();
  settings.min_deadline_ms = parsed["deadline-ms"].as<std::int64_t>();
  settings.max_deadline_ms = std::max(
      settings.min_deadline_ms, parsed["max-deadline-ms"].as<std::int64_t>());
  settings.body_bytes = parsed["body-bytes"].as<std::size_t>();
  settings.seed = parsed["seed"].as<std::uint64_t>();
  return settings.rate_per_s > 0 && settings.min_deadline_ms > 0;
}

auto Main(int argc, const char* const* argv) -> int {
  cxxopts::Options options(
      "kcm-load", "Sends requests at a fixed rate and prints what came of it.");
  options.add_options()("targets", "IP:PORT,... that take requests in turn",
                        cxxopts::value<std::vector<std::string>>())(
      "path", "path of the call",
      cxxopts::value<std::string>()->default_value("/v1/requests"))(
      "token", "client account's token",
      cxxopts::value<std::string>()->default_value(""))(
      "rate", "requests a second",
      cxxopts::value<double>()->default_value("100"))(
      "seconds", "span of the load",
      cxxopts::value<double>()->default_value("5"))(
      "deadline-ms", "least deadline",
      cxxopts::value<std::int64_t>()->default_value("1000"))(
      "max-deadline-ms", "greatest deadline, when it is more",
      cxxopts::value<std::int64_t>()->default_value("0"))(
      "body-bytes", "size of each body",
      cxxopts::value<std::size_t>()->default_value("64"))(
      "seed", "seed of arrivals and deadlines",
      cxxopts::value<std::uint64_t>()->default_value("1"))("help",
                                                           "print this text");
  LoadSettings settings;
  try {
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") != 0 || parsed.count("targets") == 0) {
      std::cout << options.help() << "\n";
      return parsed.count("help") != 0 ? 0 : kExitUsage;
    }
    if (!ReadSettings(parsed, settings)) {
      return kExitUsage;
    }
  } catch (const std::exception& error) {
    std::cerr << "kcm-load: " << error.what() << "\n";
    return kExitUsage;
  }
  net::EventLoop loop;
  LoadGenerator generator(loop, settings);
  std::cout << generator.Run().ToJson(settings.seconds).dump() << "\n";
  return 0;
}

}  // namespace

}  // namespace kcm::load

auto main(int argc, char** argv) -> int {
  return kcm::load::Main(argc, argv);
}
