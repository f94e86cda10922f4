#include <array>
#include <cstdlib>
#include <cxxopts.hpp>
#include <fstream>
#include <iostream>
#include <map>
#include <optional>

#include "LibCore/nearest.h"
#include "command.h"

namespace kcm::cli {

namespace {

auto PrintHelp(std::ostream& out) -> void {
  out << "Usage: kcm [--gateway IP:PORT] [--token TOKEN | --token-file FILE] "
         "[--json] GROUP "
         "VERB [ARGUMENT...]\n\nThe token may stand in KCM_TOKEN, the gateway "
         "in "
         "KCM_GATEWAY.\n\nCommands of the group evacuation ask an entry VM at "
         "its metrics address:\n--entry IP:PORT, or KCM_ENTRY.\n\nkcm "
         "completion bash prints a completion for "
         "bash.\n\n";
  for (const auto& command : Commands()) {
    out << "  " << command.group << " " << command.verb << " "
        << command.arguments << "\n      " << command.description << "\n";
  }
}

auto EnvironmentOr(const char* name, const char* fallback) -> std::string {
  const auto* value = std::getenv(name);
  return value == nullptr ? fallback : value;
}

/// How the address of one kind of process is given.
struct ServerOption {
  Server server;
  const char* name;
  const char* variable;
  const char* default_address;
  const char* role;
};

auto OptionOf(Server server) -> const ServerOption& {
  static constexpr std::array kOptions = {
      ServerOption{Server::kGateway, "gateway", "KCM_GATEWAY", "127.0.0.1:8001",
                   "gateway"},
      ServerOption{Server::kEntryVm, "entry", "KCM_ENTRY", "127.0.0.1:9464",
                   "entry VM"}};
  return kOptions[static_cast<std::size_t>(server)];
}

/// Prints a bash completion script for groups and verbs.
auto PrintBashCompletion(std::ostream& out) -> void {
  std::map<std::string_view, std::string> verbs;
  for (const auto& command : Commands()) {
    verbs[command.group] += " " + std::string(command.verb);
  }
  std::string groups;
  std::string cases;
  for (const auto& [group, words] : verbs) {
    groups += " " + std::string(group);
    cases += "    " + std::string(group) + ") words=\"" + words.substr(1) +
             "\" ;;\n";
  }
  out << "_kcm() {\n  local words=\"" << groups.substr(1)
      << "\"\n  case ${COMP_WORDS[COMP_CWORD-1]} in\n"
      << cases
      << "  esac\n  COMPREPLY=($(compgen -W \"$words\" -- "
         "\"${COMP_WORDS[COMP_CWORD]}\"))\n}\ncomplete -F _kcm kcm\n";
}

/// @return the token, or nothing when an unreadable file was reported.
auto ReadToken(const cxxopts::ParseResult& parsed)
    -> std::optional<std::string> {
  if (parsed.count("token") != 0) {
    return parsed["token"].as<std::string>();
  }
  if (parsed.count("token-file") == 0) {
    return EnvironmentOr("KCM_TOKEN", "");
  }
  const auto path = parsed["token-file"].as<std::string>();
  std::ifstream file(path);
  std::string token;
  if (!std::getline(file, token)) {
    std::cerr << "kcm: cannot read a token from " << path << ".\n";
    return std::nullopt;
  }
  return token;
}

auto FindCommand(const std::vector<std::string>& words) -> const Command* {
  if (words.size() < 2) {
    PrintHelp(std::cerr);
    return nullptr;
  }
  std::vector<std::string> known_commands;
  for (const auto& command : Commands()) {
    if (command.group == words[0] && command.verb == words[1]) {
      return &command;
    }
    known_commands.push_back(std::string(command.group) + " " +
                             std::string(command.verb));
  }
  const auto given = words[0] + " " + words[1];
  std::cerr << "kcm: there is no command \"" << given << "\"."
            << core::DidYouMean(given, known_commands) << "\n";
  return nullptr;
}

auto Run(int argc, char** argv) -> ExitCode {
  cxxopts::Options options("kcm", "Command line of kingcupmast.");
  options.add_options()("gateway", "IP:PORT", cxxopts::value<std::string>())(
      "token", "bearer token", cxxopts::value<std::string>())(
      "token-file", "file with the bearer token",
      cxxopts::value<std::string>())("json", "print documents")(
      "entry", "IP:PORT of an entry VM's metrics",
      cxxopts::value<std::string>())("help", "print this text")(
      "version", "print the version");
  const auto parsed = options.parse(argc, argv);
  if (parsed.count("help") != 0) {
    PrintHelp(std::cout);
    return ExitCode::kDone;
  }
  if (parsed.count("version") != 0) {
    std::cout << "kcm 0.1.0\n";
    return ExitCode::kDone;
  }
  // cxxopts splits positional options at commas, so none are declared.
  auto words = parsed.unmatched();
  if (words == std::vector<std::string>{"completion", "bash"}) {
    PrintBashCompletion(std::cout);
    return ExitCode::kDone;
  }
  const auto* command = FindCommand(words);
  if (command == nullptr) {
    return ExitCode::kUsage;
  }
  const auto& option = OptionOf(command->server);
  const auto text =
      parsed.count(option.name) != 0
          ? parsed[option.name].as<std::string>()
          : EnvironmentOr(option.variable, option.default_address);
  core::Reason reason;
  const auto address =
      core::ParseAddress(text, "--" + std::string(option.name), reason);
  if (!address) {
    std::cerr << "kcm: " << reason.message << "\n";
    return ExitCode::kUsage;
  }
  // An entry VM needs no token, so it gets none.
  const auto token = command->server == Server::kGateway
                         ? ReadToken(parsed)
                         : std::optional<std::string>("");
  if (!token) {
    return ExitCode::kUsage;
  }
  ApiClient client(*address, *token, option.role);
  words.erase(words.begin(), words.begin() + 2);
  Invocation invocation{client, parsed.count("json") != 0, std::move(words)};
  return command->run(invocation);
}

}  // namespace

}  // namespace kcm::cli

auto main(int argc, char** argv) -> int {
  try {
    return static_cast<int>(kcm::cli::Run(argc, argv));
  } catch (const std::exception& error) {
    std::cerr << "kcm: " << error.what() << "\n";
    return static_cast<int>(kcm::cli::ExitCode::kUsage);
  }
}
