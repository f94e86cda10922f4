#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace kcm::core {

inline constexpr const char* kVersion = "0.1.0";
/// Exit code for a bad command line or bad settings.
inline constexpr int kExitUsage = 2;

/// An option that prints a text and ends the process.
struct PrintOption {
  std::string name;
  std::string help;
  std::function<std::string()> text;
};

/// What the command line of a service says.
struct ServiceCommandLine {
  /// Settings file; empty when none is named.
  std::string config;
  /// Check the settings and leave.
  bool check = false;
  /// Set when the process has nothing more to do.
  std::optional<int> exit_code;
};

/// Reads --config, --check, --version, --help and the options given; prints
/// what they ask for, and faults to the error stream.
/// @param name name of the program.
/// @param purpose what it is, in one sentence.
[[nodiscard]] auto ParseServiceCommandLine(
    int argc,
    const char* const* argv,
    const std::string& name,
    const std::string& purpose,
    const std::vector<PrintOption>& prints = {}) -> ServiceCommandLine;

}  // namespace kcm::core
