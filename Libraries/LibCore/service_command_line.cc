#include "LibCore/service_command_line.h"

#include <cxxopts.hpp>
#include <iostream>
#include <utility>

namespace kcm::core {

namespace {

auto ReadOptions(const cxxopts::ParseResult& parsed,
                 const std::vector<PrintOption>& prints) -> ServiceCommandLine {
  ServiceCommandLine line;
  for (const auto& print : prints) {
    if (parsed.count(print.name) != 0) {
      std::cout << print.text();
      line.exit_code = 0;
      return line;
    }
  }
  line.check = parsed.count("check") != 0;
  if (parsed.count("config") != 0) {
    line.config = parsed["config"].as<std::string>();
  }
  return line;
}

}  // namespace

auto ParseServiceCommandLine(int argc,
                             const char* const* argv,
                             const std::string& name,
                             const std::string& purpose,
                             const std::vector<PrintOption>& prints)
    -> ServiceCommandLine {
  cxxopts::Options options(name, purpose);
  auto all_prints = prints;
  all_prints.push_back({"version", "print the version",
                        [&] { return name + " " + kVersion + "\n"; }});
  all_prints.push_back(
      {"help", "print this text", [&] { return options.help() + "\n"; }});
  auto add = options.add_options();
  add("config", "settings file in TOML", cxxopts::value<std::string>());
  add("check", "check the settings and leave");
  for (const auto& print : all_prints) {
    add(print.name, print.help);
  }
  try {
    return ReadOptions(options.parse(argc, argv), all_prints);
  } catch (const std::exception& error) {
    std::cerr << name << ": " << error.what() << "\n";
    ServiceCommandLine line;
    line.exit_code = kExitUsage;
    return line;
  }
}

}  // namespace kcm::core
