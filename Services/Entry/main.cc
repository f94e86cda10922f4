#include <cstdlib>
#include <cxxopts.hpp>
#include <iostream>
#include <optional>
#include <string>

#include "LibCore/event.h"
#include "entry_process.h"
#include "platform/names.h"
#include "platform/node_file.h"

namespace kcm::entry {

namespace {

constexpr int kExitUsage = 2;

struct CommandLine {
  /// Empty to take the path from the environment.
  std::string settings_path;
  bool check = false;
  /// Set when the process has nothing more to do.
  std::optional<int> exit_code;
};

auto ParseCommandLine(int argc, const char* const* argv) -> CommandLine {
  cxxopts::Options options(
      "kcm-entry", "One entry VM of kingcupmast on its users' platform.");
  options.add_options()("config", "settings file of the platform",
                        cxxopts::value<std::string>())(
      "check", "check the settings and leave")("help", "print this text");
  CommandLine line;
  try {
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") != 0) {
      std::cout << options.help() << "\n";
      line.exit_code = 0;
      return line;
    }
    line.check = parsed.count("check") != 0;
    if (parsed.count("config") != 0) {
      line.settings_path = parsed["config"].as<std::string>();
    } else if (const auto* path =
                   std::getenv(adapter::names::kSettingsVariable)) {
      line.settings_path = path;
    }
  } catch (const std::exception& error) {
    std::cerr << "kcm-entry: " << error.what() << "\n";
    line.exit_code = kExitUsage;
  }
  return line;
}

auto Main(int argc, const char* const* argv) -> int {
  const auto line = ParseCommandLine(argc, argv);
  if (line.exit_code) {
    return *line.exit_code;
  }
  EntryProcess process(line.settings_path);
  core::Reason reason;
  const auto settings = adapter::ReadNodeFile(line.settings_path, reason);
  if (!settings) {
    std::cerr << "kcm-entry: " << reason.message << "\n";
    return kExitUsage;
  }
  if (line.check) {
    std::cout << line.settings_path << ": the settings are good.\n";
    return 0;
  }
  core::SetUpLogging(settings->name, true, core::LogSink::kStandardOutput);
  if (!process.Open(*settings, reason)) {
    std::cerr << "kcm-entry: " << reason.message << "\n";
    return kExitUsage;
  }
  core::LogEvent(core::Event::kStarted, {{"data_centre", settings->data_centre},
                                         {"store", settings->store.ToString()},
                                         {"seeds", settings->seeds.size()}});
  process.Run();
  core::LogEvent(core::Event::kStopped);
  return 0;
}

}  // namespace

}  // namespace kcm::entry

auto main(int argc, char** argv) -> int {
  return kcm::entry::Main(argc, argv);
}
