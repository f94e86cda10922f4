#include "LibNode/in_force.h"

#include <algorithm>
#include <utility>

#include "LibCore/clock.h"

namespace kcm::node {

namespace {

constexpr core::Millis kInForceAskPeriod = 250;
/// Silence after which a process is no longer waited for.
constexpr core::Millis kSilence = 1000;
/// Span over which a question is remembered; asking again renews it.
constexpr core::Millis kAskedLease = 1000;

}  // namespace

InForce::InForce(net::EventLoop& loop,
                 net::Bus& bus,
                 LogState& log,
                 std::vector<std::string> peers)
    : loop_(loop), bus_(bus), log_(log), peers_(std::move(peers)) {
  bus.OnMessage("offset_query",
                [this](const net::BusMessage& message) { OnQuery(message); });
  bus.OnMessage("offset_answer",
                [this](const net::BusMessage& message) { OnAnswer(message); });
  log.OnApplied(
      [this](const AppliedRecord& applied) { OnFolded(applied.stream); });
  log.OnSnapshot([this](const std::string& stream) { OnFolded(stream); });
}

auto InForce::Await(const std::string& stream,
                    std::int64_t offset,
                    core::Millis timeout,
                    Done done) -> void {
  const auto id = next_query_++;
  const auto now = core::MonotonicNow();
  queries_[id] = {stream,
                  offset,
                  now,
                  now + timeout,
                  {peers_.begin(), peers_.end()},
                  {},
                  std::move(done)};
  Ask(id);
}

auto InForce::Ask(std::int64_t id) -> void {
  const auto found = queries_.find(id);
  if (found == queries_.end()) {
    return;
  }
  auto& query = found->second;
  const auto now = core::MonotonicNow();
  const bool only_silent_left =
      query.heard.empty() && now - query.started_at >= kSilence;
  if (query.missing.empty() || only_silent_left || now >= query.deadline) {
    Finish(id);
    return;
  }
  for (const auto& peer : query.missing) {
    bus_.Send(
        peer, "offset_query",
        {{"query", id}, {"stream", query.stream}, {"offset", query.offset}});
  }
  loop_.After(kInForceAskPeriod, [this, id] { Ask(id); });
}

auto InForce::Finish(std::int64_t id) -> void {
  const auto node = queries_.extract(id);
  const auto& query = node.mapped();
  query.done({query.missing.begin(), query.missing.end()});
}

auto InForce::OnQuery(const net::BusMessage& message) -> void {
  Asked asked;
  asked.by = message.from;
  message.body.at("query").get_to(asked.query);
  message.body.at("stream").get_to(asked.stream);
  message.body.at("offset").get_to(asked.offset);
  asked.until = core::MonotonicNow() + kAskedLease;
  std::erase_if(asked_, [&](const Asked& other) {
    return (other.by == asked.by && other.query == asked.query) ||
           other.until < core::MonotonicNow();
  });
  const bool reached = log_.NextOffset(asked.stream) >= asked.offset;
  Answer(asked, reached);
  if (!reached) {
    asked_.push_back(std::move(asked));
  }
}

auto InForce::OnFolded(const std::string& stream) -> void {
  if (asked_.empty()) {
    return;
  }
  const auto next = log_.NextOffset(stream);
  std::erase_if(asked_, [&](const Asked& asked) {
    const bool reached = asked.stream == stream && next >= asked.offset;
    if (reached) {
      Answer(asked, true);
    }
    return reached;
  });
}

auto InForce::Answer(const Asked& asked, bool reached) -> void {
  bus_.Send(asked.by, "offset_answer",
            {{"query", asked.query}, {"reached", reached}});
}

auto InForce::OnAnswer(const net::BusMessage& message) -> void {
  const auto id = message.body.at("query").get<std::int64_t>();
  const auto found = queries_.find(id);
  if (found == queries_.end()) {
    return;
  }
  auto& query = found->second;
  if (!message.body.at("reached").get<bool>()) {
    query.heard.insert(message.from);
    return;
  }
  query.heard.erase(message.from);
  query.missing.erase(message.from);
  if (query.missing.empty()) {
    Finish(id);
  }
}

}  // namespace kcm::node
