#include "LibNode/service.h"

#include <csignal>
#include <iostream>

#include "LibCore/event.h"
#include "LibCore/service_command_line.h"
#include "LibNode/settings_reference.h"

namespace kcm::node {

namespace {

auto DrainOnSignals(Node& node, Service& service) -> void {
  const auto drain = [&node, &service, draining = false]() mutable {
    if (std::exchange(draining, true)) {
      // Further signals do not shorten the drain.
      return;
    }
    core::LogEvent(core::Event::kDraining);
    auto& loop = node.loop();
    loop.After(node.settings().drain_timeout_ms, [&loop] { loop.Stop(); });
    service.Drain([&loop] { loop.Stop(); });
  };
  const auto shared_drain =
      std::make_shared<std::function<void()>>(std::move(drain));
  node.loop().OnSignal(SIGTERM, [shared_drain] { (*shared_drain)(); });
  node.loop().OnSignal(SIGINT, [shared_drain] { (*shared_drain)(); });
}

}  // namespace

auto RunService(int argc,
                const char* const* argv,
                Role role,
                const Service::Factory& factory) -> int {
  const auto name = "kcm-" + std::string(NameOf(role));
  const auto command_line = core::ParseServiceCommandLine(
      argc, argv, name,
      "The " + std::string(NameOf(role)) + " of one entry VM.",
      {{"settings-reference", "print the page on all settings",
        SettingsReference}});
  if (command_line.exit_code) {
    return *command_line.exit_code;
  }
  if (command_line.config.empty()) {
    std::cerr << name << ": --config FILE.toml is missing.\n";
    return core::kExitUsage;
  }
  core::Reason reason;
  auto settings = LoadNodeSettings(command_line.config, reason);
  if (!settings) {
    std::cerr << reason.message << "\n";
    return core::kExitUsage;
  }
  if (command_line.check) {
    std::cout << command_line.config << ": the settings are good.\n";
    return 0;
  }
  core::SetUpLogging(BusNameOf(settings->name, role), settings->json_logs);
  auto node = Node::create(std::move(*settings), role, reason);
  auto service = node == nullptr ? nullptr : factory(*node, reason);
  if (service == nullptr) {
    std::cerr << reason.message << "\n";
    return core::kExitUsage;
  }
  std::signal(SIGPIPE, SIG_IGN);
  DrainOnSignals(*node, *service);
  core::LogEvent(core::Event::kStarted, {{"version", core::kVersion}});
  node->loop().Run();
  core::LogEvent(core::Event::kStopped);
  return 0;
}

}  // namespace kcm::node
