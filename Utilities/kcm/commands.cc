#include <array>
#include <fstream>
#include <iostream>
#include <iterator>
#include <sstream>

#include "LibCore/json.h"
#include "LibCore/reason.h"
#include "LibState/job_status.h"
#include "command.h"
#include "render.h"

namespace kcm::cli {

namespace {

constexpr int kFirstHttpErrorStatus = 400;
constexpr core::Millis kJobPollPeriod = 200;

/// Reads a file, or standard input for "-".
auto ReadInput(const std::string& path) -> std::optional<std::string> {
  if (path == "-") {
    return std::string(std::istreambuf_iterator<char>(std::cin), {});
  }
  std::ifstream file(path);
  if (!file) {
    std::cerr << "kcm: cannot read " << path << ".\n";
    return std::nullopt;
  }
  return std::string(std::istreambuf_iterator<char>(file), {});
}

auto ExitCodeOf(core::Conclusion conclusion) -> ExitCode {
  constexpr std::array kCodes = {ExitCode::kDone, ExitCode::kNotRun,
                                 ExitCode::kFailed, ExitCode::kUnknown};
  return kCodes[static_cast<std::size_t>(conclusion)];
}

auto ReportError(const core::Reason& reason) -> ExitCode {
  const auto& error = core::ErrorInfoOf(reason.kind);
  std::cerr << "kcm: " << error.name << " (" << core::NameOf(error.conclusion)
            << "): " << reason.message << "\n";
  return ExitCodeOf(error.conclusion);
}

/// Makes a call that returns a JSON document.
/// @return the document, or nothing after the error was reported.
auto CallJson(Invocation& invocation,
              net::HttpRequest request,
              ExitCode& exit_code) -> std::optional<core::Json> {
  core::Reason reason;
  const auto response = invocation.client.Call(std::move(request), reason);
  if (!response) {
    exit_code = ReportError(reason);
    return std::nullopt;
  }
  auto document = core::Json::parse(response->body, nullptr, false);
  if (response->status >= kFirstHttpErrorStatus) {
    exit_code = ReportError(core::FromErrorBody(document));
    return std::nullopt;
  }
  exit_code = ExitCode::kDone;
  return document;
}

auto CallAndPrint(Invocation& invocation,
                  net::HttpRequest request,
                  auto(*render)(const core::Json&)->std::string) -> ExitCode {
  auto exit_code = ExitCode::kDone;
  const auto document = CallJson(invocation, std::move(request), exit_code);
  if (document) {
    std::cout << (invocation.as_json ? document->dump(2) + "\n"
                                     : render(*document));
  }
  return exit_code;
}

auto GetRequest(const std::string& path) -> net::HttpRequest {
  return {"GET", path, {}, {}, ""};
}

auto TableShow(Invocation& invocation) -> ExitCode {
  return CallAndPrint(invocation, GetRequest("/v1/table"), RenderTable);
}

auto TableHistory(Invocation& invocation) -> ExitCode {
  return CallAndPrint(invocation, GetRequest("/v1/table-history"),
                      RenderHistory);
}

/// Sets the member of `document` given as "COLUMN=VALUE".
auto AssignColumn(core::Json& document, const std::string& argument) -> bool {
  const auto equals = argument.find('=');
  if (equals == std::string::npos) {
    std::cerr << "kcm: \"" << argument
              << "\" is not of the form COLUMN=VALUE.\n";
    return false;
  }
  const auto text = argument.substr(equals + 1);
  auto value = core::Json::parse(text, nullptr, false);
  document[argument.substr(0, equals)] =
      value.is_discarded() ? core::Json(text) : value;
  return true;
}

auto TableSet(Invocation& invocation) -> ExitCode {
  if (invocation.arguments.size() < 2) {
    std::cerr << "kcm: table set needs ACCOUNT and COLUMN=VALUE words.\n";
    return ExitCode::kUsage;
  }
  const auto path = "/v1/table/" + invocation.arguments.front();
  core::Reason reason;
  const auto current = invocation.client.Call(GetRequest(path), reason);
  if (!current) {
    return ReportError(reason);
  }
  auto row = core::Json::object();
  if (current->status < kFirstHttpErrorStatus) {
    row = core::Json::parse(current->body, nullptr, false);
  }
  for (std::size_t i = 1; i < invocation.arguments.size(); ++i) {
    if (!AssignColumn(row, invocation.arguments[i])) {
      return ExitCode::kUsage;
    }
  }
  return CallAndPrint(invocation, {"PUT", path, {}, {}, row.dump()}, RenderRow);
}

auto FleetShow(Invocation& invocation) -> ExitCode {
  return CallAndPrint(invocation, GetRequest("/v1/fleet"), RenderFleet);
}

auto FleetRecord(Invocation& invocation) -> ExitCode {
  const auto body = invocation.arguments.empty()
                        ? std::nullopt
                        : ReadInput(invocation.arguments.front());
  if (!body) {
    return ExitCode::kUsage;
  }
  return CallAndPrint(invocation, {"PUT", "/v1/fleet", {}, {}, *body},
                      RenderFleet);
}

auto JobSubmit(Invocation& invocation) -> ExitCode {
  const auto body = invocation.arguments.empty()
                        ? std::nullopt
                        : ReadInput(invocation.arguments.front());
  if (!body) {
    std::cerr << "kcm: job submit needs FILE.json or -.\n";
    return ExitCode::kUsage;
  }
  return CallAndPrint(invocation, {"POST", "/v1/jobs", {}, {}, *body},
                      RenderSubmitted);
}

auto JobPath(const Invocation& invocation) -> std::string {
  return "/v1/jobs/" + (invocation.arguments.empty()
                            ? std::string("-")
                            : invocation.arguments.front());
}

auto JobList(Invocation& invocation) -> ExitCode {
  return CallAndPrint(invocation, GetRequest("/v1/jobs"), RenderJobs);
}

auto JobShow(Invocation& invocation) -> ExitCode {
  return CallAndPrint(invocation, GetRequest(JobPath(invocation)), RenderJob);
}

auto JobCancel(Invocation& invocation) -> ExitCode {
  return CallAndPrint(invocation,
                      {"POST", JobPath(invocation) + "/cancel", {}, {}, ""},
                      RenderCancelled);
}

auto JobWait(Invocation& invocation) -> ExitCode {
  while (true) {
    auto exit_code = ExitCode::kDone;
    const auto job =
        CallJson(invocation, GetRequest(JobPath(invocation)), exit_code);
    if (!job) {
      return exit_code;
    }
    const auto status = job->at("status").get<state::JobStatus>();
    if (state::IsEnded(status)) {
      std::cout << (invocation.as_json ? job->dump(2) + "\n" : RenderJob(*job));
      return status == state::JobStatus::kDone ? ExitCode::kDone
                                               : ExitCode::kFailed;
    }
    invocation.client.Sleep(kJobPollPeriod);
  }
}

auto RequestSend(Invocation& invocation) -> ExitCode {
  if (invocation.arguments.empty()) {
    std::cerr << "kcm: request send needs a BODY.\n";
    return ExitCode::kUsage;
  }
  net::HttpRequest request{"POST",
                           "/v1/requests",
                           {},
                           {{"content-type", "text/plain"}},
                           invocation.arguments.front()};
  if (invocation.arguments.size() > 1) {
    request.headers["x-idempotent"] = "false";
    request.headers["idempotency-key"] = invocation.arguments[1];
  }
  core::Reason reason;
  const auto response = invocation.client.Call(std::move(request), reason);
  if (!response) {
    return ReportError(reason);
  }
  if (response->status >= kFirstHttpErrorStatus) {
    return ReportError(
        core::FromErrorBody(core::Json::parse(response->body, nullptr, false)));
  }
  std::cout << response->body << "\n";
  return ExitCode::kDone;
}

auto StatusShow(Invocation& invocation) -> ExitCode {
  return CallAndPrint(invocation, GetRequest("/v1/status"), RenderStatus);
}

auto ProcessList(Invocation& invocation) -> ExitCode {
  return CallAndPrint(invocation, GetRequest("/v1/processes"), RenderProcesses);
}

/// Asks an entry VM, and then the term holder if that is another one.
auto EvacuationList(Invocation& invocation) -> ExitCode {
  auto exit_code = ExitCode::kDone;
  auto document = CallJson(invocation, GetRequest("/status"), exit_code);
  if (document && !document->at("is_holder").get<bool>() &&
      document->at("holder").is_object()) {
    core::Reason reason;
    const auto holder = core::ParseAddress(
        document->at("holder").at("status_address").get<std::string>(),
        "status_address", reason);
    if (!holder) {
      return ReportError(reason);
    }
    ApiClient client(*holder, "", "term holder");
    Invocation at_holder{client, invocation.as_json, {}};
    document = CallJson(at_holder, GetRequest("/status"), exit_code);
  }
  if (!document) {
    return exit_code;
  }
  std::cout << (invocation.as_json ? document->dump(2) + "\n"
                                   : RenderEvacuations(*document));
  return exit_code;
}

auto WorkerList(Invocation& invocation) -> ExitCode {
  return CallAndPrint(invocation, GetRequest("/v1/fleet/workers"),
                      RenderWorkers);
}

auto ChangeCordon(Invocation& invocation, const std::string& verb) -> ExitCode {
  if (invocation.arguments.empty()) {
    std::cerr << "kcm: worker " << verb << " needs WORKER.\n";
    return ExitCode::kUsage;
  }
  core::Json body = core::Json::object();
  if (invocation.arguments.size() > 1) {
    body["reason"] = invocation.arguments[1];
  }
  const auto path =
      "/v1/fleet/workers/" + invocation.arguments.front() + "/" + verb;
  return CallAndPrint(invocation, {"POST", path, {}, {}, body.dump()},
                      RenderCordon);
}

auto WorkerCordon(Invocation& invocation) -> ExitCode {
  return ChangeCordon(invocation, "cordon");
}

auto WorkerUncordon(Invocation& invocation) -> ExitCode {
  return ChangeCordon(invocation, "uncordon");
}

auto MinionList(Invocation& invocation) -> ExitCode {
  return CallAndPrint(invocation, GetRequest("/v1/minions"), RenderMinions);
}

constexpr std::array kCommands = {
    Command{"table", "show", "", "shows all rows", TableShow},
    Command{"table", "set", "ACCOUNT COLUMN=VALUE...", "edits one row",
            TableSet},
    Command{"table", "history", "", "shows the accepted edits", TableHistory},
    Command{"fleet", "show", "", "shows the workers on record", FleetShow},
    Command{"fleet", "record", "FILE", "records the workers", FleetRecord},
    Command{"job", "submit", "FILE", "submits a job", JobSubmit},
    Command{"job", "list", "", "lists jobs", JobList},
    Command{"job", "show", "JOB", "shows one job", JobShow},
    Command{"job", "wait", "JOB", "waits until a job has ended", JobWait},
    Command{"job", "cancel", "JOB", "cancels a job", JobCancel},
    Command{"request", "send", "BODY [KEY]",
            "sends a request; with a key it runs at most once", RequestSend},
    Command{"status", "show", "", "shows the gateway's view", StatusShow},
    Command{"process", "list", "",
            "shows lag, table version and terms of all processes", ProcessList},
    Command{"worker", "list", "", "shows workers, cordons and jobs",
            WorkerList},
    Command{"worker", "cordon", "WORKER [REASON]",
            "keeps new gangs off a worker", WorkerCordon},
    Command{"worker", "uncordon", "WORKER", "lifts a cordon", WorkerUncordon},
    Command{"minion", "list", "", "shows the minions", MinionList},
    Command{"evacuation", "list", "",
            "shows evacuated data centres and what still runs there",
            EvacuationList, Server::kEntryVm},
};

}  // namespace

auto Commands() -> std::span<const Command> {
  return kCommands;
}

}  // namespace kcm::cli
