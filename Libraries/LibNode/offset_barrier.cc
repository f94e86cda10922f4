#include "LibNode/offset_barrier.h"

#include <algorithm>
#include <utility>

#include "LibCore/clock.h"

namespace kcm::node {

namespace {

constexpr core::Millis kOffsetQueryPeriodMs = 250;
/// Time after which processes that never answered are not waited for.
constexpr core::Millis kUnresponsiveAfterMs = 1000;
/// Time for which a query is kept; a repeated query renews it.
constexpr core::Millis kDeferredQueryTtlMs = 1000;

}  // namespace

OffsetBarrier::OffsetBarrier(net::EventLoop& loop,
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

auto OffsetBarrier::AwaitOffset(const std::string& stream,
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
  SendQueries(id);
}

auto OffsetBarrier::SendQueries(std::int64_t id) -> void {
  const auto found = queries_.find(id);
  if (found == queries_.end()) {
    return;
  }
  auto& query = found->second;
  const auto now = core::MonotonicNow();
  const bool only_silent_left = query.responsive.empty() &&
                                now - query.started_at >= kUnresponsiveAfterMs;
  if (query.missing.empty() || only_silent_left || now >= query.deadline) {
    Finish(id);
    return;
  }
  for (const auto& peer : query.missing) {
    bus_.Send(
        peer, "offset_query",
        {{"query", id}, {"stream", query.stream}, {"offset", query.offset}});
  }
  loop_.After(kOffsetQueryPeriodMs, [this, id] { SendQueries(id); });
}

auto OffsetBarrier::Finish(std::int64_t id) -> void {
  const auto node = queries_.extract(id);
  const auto& query = node.mapped();
  query.done({query.missing.begin(), query.missing.end()});
}

auto OffsetBarrier::OnQuery(const net::BusMessage& message) -> void {
  DeferredQuery deferred;
  deferred.peer = message.from;
  message.body.at("query").get_to(deferred.query);
  message.body.at("stream").get_to(deferred.stream);
  message.body.at("offset").get_to(deferred.offset);
  deferred.expires_at = core::MonotonicNow() + kDeferredQueryTtlMs;
  std::erase_if(deferred_, [&](const DeferredQuery& other) {
    return (other.peer == deferred.peer && other.query == deferred.query) ||
           other.expires_at < core::MonotonicNow();
  });
  const bool reached = log_.NextOffset(deferred.stream) >= deferred.offset;
  SendAnswer(deferred, reached);
  if (!reached) {
    deferred_.push_back(std::move(deferred));
  }
}

auto OffsetBarrier::OnFolded(const std::string& stream) -> void {
  if (deferred_.empty()) {
    return;
  }
  const auto next = log_.NextOffset(stream);
  std::erase_if(deferred_, [&](const DeferredQuery& deferred) {
    const bool reached = deferred.stream == stream && next >= deferred.offset;
    if (reached) {
      SendAnswer(deferred, true);
    }
    return reached;
  });
}

auto OffsetBarrier::SendAnswer(const DeferredQuery& deferred, bool reached)
    -> void {
  bus_.Send(deferred.peer, "offset_answer",
            {{"query", deferred.query}, {"reached", reached}});
}

auto OffsetBarrier::OnAnswer(const net::BusMessage& message) -> void {
  const auto id = message.body.at("query").get<std::int64_t>();
  const auto found = queries_.find(id);
  if (found == queries_.end()) {
    return;
  }
  auto& query = found->second;
  if (!message.body.at("reached").get<bool>()) {
    query.responsive.insert(message.from);
    return;
  }
  query.responsive.erase(message.from);
  query.missing.erase(message.from);
  if (query.missing.empty()) {
    Finish(id);
  }
}

}  // namespace kcm::node
