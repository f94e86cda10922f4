#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace kcm::core {

inline constexpr const char* kVersion = "0.1.0";
/// Exit code for a bad command line or bad settings.
inline constexpr int kExitUsage = 2;

/// An option that prints a text and exits.
struct PrintOption {
  std::string name;
  std::string help;
  std::function<std::string()> text;
};

/// Parsed command line of a service.
struct ServiceCommandLine {
  /// Settings file; empty when none is named.
  std::string config;
  /// Check the settings and exit.
  bool check = false;
  /// Set when the process must exit immediately.
  std::optional<int> exit_code;
};

/// Parses --config, --check, --version, --help and the options in `prints`.
/// Texts are printed to standard output, errors to standard error.
/// @param name name of the program.
/// @param purpose one-sentence description for --help.
[[nodiscard]] auto ParseServiceCommandLine(
    int argc,
    const char* const* argv,
    const std::string& name,
    const std::string& purpose,
    const std::vector<PrintOption>& prints = {}) -> ServiceCommandLine;

}  // namespace kcm::core
