#include <iostream>

#include "LibCore/event.h"
#include "LibCore/service_command_line.h"
#include "entry_process.h"
#include "platform/node_file.h"

namespace kcm::entry {

namespace {

auto Main(int argc, const char* const* argv) -> int {
  const auto line = core::ParseServiceCommandLine(
      argc, argv, "kcm-entry",
      "One entry VM of kingcupmast on its users' platform.");
  if (line.exit_code) {
    return *line.exit_code;
  }
  const auto settings_path = adapter::NodeFilePath(line.config);
  EntryProcess process(settings_path);
  core::Reason reason;
  const auto settings = adapter::ReadNodeFile(settings_path, reason);
  if (!settings) {
    std::cerr << "kcm-entry: " << reason.message << "\n";
    return core::kExitUsage;
  }
  if (line.check) {
    std::cout << settings_path << ": the settings are good.\n";
    return 0;
  }
  core::SetUpLogging(settings->name, true, core::LogSink::kStandardOutput);
  if (!process.Open(*settings, reason)) {
    std::cerr << "kcm-entry: " << reason.message << "\n";
    return core::kExitUsage;
  }
  core::LogEvent(core::Event::kStarted, {{"version", core::kVersion},
                                         {"data_centre", settings->data_centre},
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
