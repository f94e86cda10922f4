#include "status_api.h"
#include "LibNet/http_status.h"

#include <algorithm>
#include <array>
#include <utility>

namespace kcm::gateway {

namespace {

/// Span that a process has to answer, a cut region included.
constexpr core::Millis kAnswerSpan = 400;

/// @return records by which `offsets` stand behind the furthest known ones.
auto LagOf(const core::Json& offsets, const core::Json& furthest)
    -> std::int64_t {
  std::int64_t lag = 0;
  for (const auto& [stream, offset] : furthest.items()) {
    lag += offset.get<std::int64_t>() - offsets.value(stream, std::int64_t{0});
  }
  return lag;
}

/// @return the furthest offset of each stream in any answer.
auto FurthestOf(const std::map<std::string, core::Json>& answers)
    -> core::Json {
  core::Json furthest = core::Json::object();
  for (const auto& [name, answer] : answers) {
    for (const auto& [stream, offset] : answer.at("next_offsets").items()) {
      furthest[stream] = std::max(furthest.value(stream, std::int64_t{0}),
                                  offset.get<std::int64_t>());
    }
  }
  return furthest;
}

}  // namespace

StatusApi::StatusApi(node::Node& node) : node_(node) {
  // A process reaches itself by its own bus address as it reaches the others.
  for (const auto& peer : node.settings().peers) {
    if (peer.name == node.settings().name) {
      node.bus().AddPeer(node.self(), peer.gateway_bus);
    }
  }
  node.bus().OnMessage("status_answer", [this](const net::BusMessage& message) {
    OnAnswer(message);
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
  const auto ask = ++last_ask_;
  open_[ask] = {};
  for (const auto& name : ProcessNames()) {
    node_.bus().Send(name, "status_ask", {{"ask", ask}});
  }
  node_.loop().After(kAnswerSpan, [this, ask, call] { Finish(ask, call); });
}

auto StatusApi::OnAnswer(const net::BusMessage& message) -> void {
  const auto found = open_.find(message.body.at("ask").get<std::int64_t>());
  if (found != open_.end()) {
    found->second[message.from] = message.body;
  }
}

auto StatusApi::Finish(std::int64_t ask, const ApiCall& call) -> void {
  const auto answers = std::move(open_[ask]);
  open_.erase(ask);
  const auto furthest = FurthestOf(answers);
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
         {"records_behind", LagOf(answer.at("next_offsets"), furthest)},
         {"schedules", answer.at("schedules")}});
  }
  call.reply.SendJson(net::kHttpOk,
                      {{"table_version", newest}, {"processes", processes}});
}

}  // namespace kcm::gateway
