#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "api_client.h"

namespace kcm::cli {

/// Exit codes of kcm; docs/OPERATIONS.md lists them.
enum class ExitCode : int {
  kDone = 0,
  kNotRun = 1,
  kUsage = 2,
  kFailed = 3,
  kUnknown = 4,
};

/// Which kind of process answers a command.
enum class Server : std::uint8_t { kGateway, kEntryVm };

/// Context of one command call.
struct Invocation {
  ApiClient& client;
  bool as_json = false;
  std::vector<std::string> arguments;
};

/// One command such as "job submit".
struct Command {
  std::string_view group;
  std::string_view verb;
  std::string_view arguments;
  std::string_view description;
  auto(*run)(Invocation&) -> ExitCode;
  Server server = Server::kGateway;
};

/// @return all commands.
auto Commands() -> std::span<const Command>;

}  // namespace kcm::cli
