#include "status_api.h"
#include "LibNet/http_status.h"

#include <algorithm>
#include <array>
#include <utility>

namespace kcm::gateway {

namespace {

/// Time limit for all answers, also when a region is unreachable.
constexpr core::Millis kAnswerTimeout = 400;

/// @return number of records by which `offsets` are behind `highest`.
auto RecordsBehind(const core::Json& offsets, const core::Json& highest)
    -> std::int64_t {
  std::int64_t lag = 0;
  for (const auto& [stream, offset] : highest.items()) {
    lag += offset.get<std::int64_t>() - offsets.value(stream, std::int64_t{0});
  }
  return lag;
}

/// @return the highest offset of each stream in any answer.
auto HighestOffsets(const std::map<std::string, core::Json>& answers)
    -> core::Json {
  core::Json highest = core::Json::object();
  for (const auto& [name, answer] : answers) {
    for (const auto& [stream, offset] : answer.at("next_offsets").items()) {
      highest[stream] = std::max(highest.value(stream, std::int64_t{0}),
                                 offset.get<std::int64_t>());
    }
  }
  return highest;
}

}  // namespace

StatusApi::StatusApi(node::Node& node) : node_(node) {
  // The gateway queries itself over the bus too, like the other processes.
  for (const auto& peer : node.settings().peers) {
    if (peer.name == node.settings().name) {
      node.bus().AddPeer(node.self(), peer.gateway_bus);
    }
  }
  node.bus().OnMessage("status_answer", [this](const net::BusMessage& message) {
    HandleAnswer(message);
  });
}

auto StatusApi::ProcessNames() const -> std::vector<std::string> {
  constexpr std::array kRoles = {node::Role::kGateway, node::Role::kScheduler,
                                 node::Role::kRelay};
  std::vector<std::string> names;
  for (const auto& peer : node_.settings().peers) {
    for (const auto role : kRoles) {
      names.push_back(node::BusNameOf(peer.name, role));
    }
  }
  return names;
}

auto StatusApi::ShowProcesses(const ApiCall& call) -> void {
  const auto query = ++last_query_;
  pending_[query] = {};
  for (const auto& name : ProcessNames()) {
    node_.bus().Send(name, "status_ask", {{"ask", query}});
  }
  node_.loop().After(kAnswerTimeout,
                     [this, query, call] { FinishQuery(query, call); });
}

auto StatusApi::HandleAnswer(const net::BusMessage& message) -> void {
  const auto found = pending_.find(message.body.at("ask").get<std::int64_t>());
  if (found != pending_.end()) {
    found->second[message.from] = message.body;
  }
}

auto StatusApi::FinishQuery(std::int64_t query, const ApiCall& call) -> void {
  const auto answers = std::move(pending_[query]);
  pending_.erase(query);
  const auto highest = HighestOffsets(answers);
  std::int64_t newest = 0;
  for (const auto& [name, answer] : answers) {
    newest = std::max(newest, answer.at("table_version").get<std::int64_t>());
  }
  core::Json processes = core::Json::array();
  for (const auto& name : ProcessNames()) {
    const auto found = answers.find(name);
    if (found == answers.end()) {
      processes.push_back({{"name", name}, {"answered", false}});
      continue;
    }
    const auto& answer = found->second;
    processes.push_back(
        {{"name", name},
         {"answered", true},
         {"table_version", answer.at("table_version")},
         {"in_force", answer.at("table_version") == newest},
         {"records_behind", RecordsBehind(answer.at("next_offsets"), highest)},
         {"schedules", answer.at("schedules")}});
  }
  call.reply.SendJson(net::kHttpOk,
                      {{"table_version", newest}, {"processes", processes}});
}

}  // namespace kcm::gateway
