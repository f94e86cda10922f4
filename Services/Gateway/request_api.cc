#include "request_api.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "LibCore/clock.h"
#include "LibCore/json_decode.h"

namespace kcm::gateway {

namespace {

constexpr core::Millis kDefaultDeadline = 10000;
constexpr core::Millis kMaxDeadline = 600000;
constexpr core::Millis kDispatchPeriod = 20;
constexpr core::Millis kMinAttempt = 3000;
constexpr double kAttemptFactor = 10;
/// Time to send the answer to the caller before its deadline.
constexpr core::Millis kAnswerMargin = 20;
constexpr std::size_t kMaxKeyLength = 128;
/// Units into which an account's rate is divided among the gateways.
constexpr std::int64_t kRateUnits = 60;
constexpr double kRateBurstSeconds = 0.25;

auto RouterSettingsOf(const node::Node& node) -> request::RouterSettings {
  const auto& settings = node.settings();
  return {settings.data_centre, settings.region,
          core::ValueOf<request::RoutingStrategy>(settings.routing)
              .value_or(request::RoutingStrategy::kLeastLoaded),
          settings.slots_per_minion};
}

auto DeadlineOf(const net::HttpRequest& request) -> core::Millis {
  const auto text = request.header("x-deadline-ms");
  core::Millis span = kDefaultDeadline;
  std::from_chars(text.data(), text.data() + text.size(), span);
  return core::MonotonicNow() + std::clamp<core::Millis>(span, 1, kMaxDeadline);
}

auto IsValidKey(const std::string& key) -> bool {
  return !key.empty() && key.size() <= kMaxKeyLength &&
         std::all_of(key.begin(), key.end(),
                     [](char c) { return c > ' ' && c <= '~'; });
}

auto IsValidContentType(const std::string& type) -> bool {
  return std::all_of(type.begin(), type.end(),
                     [](char c) { return c >= ' ' && c <= '~'; });
}

auto RateResource(const std::string& account) -> std::string {
  return "rate/" + account;
}

auto ConcurrencyResource(const std::string& account) -> std::string {
  return "concurrency/" + account;
}

}  // namespace

RequestApi::RequestApi(node::Node& node)
    : node_(node),
      minions_(node.http()),
      share_exchange_(node),
      router_(RouterSettingsOf(node), share_exchange_.ledger()),
      watch_(node, router_),
      intents_(node),
      queue_(core::ValueOf<request::QueueOrder>(node.settings().queue_order)
                 .value_or(request::QueueOrder::kFirstIn)) {
  // All gateways together stay within a minion's connection limit: connections
  // in use are bounded by its slots, idle ones by the remainder.
  const auto& settings = node.settings();
  const auto gateways = node.PeersOf(node::Role::kGateway, "").size() + 1;
  const auto spare = std::max<std::int64_t>(
      settings.connections_per_minion - settings.slots_per_minion, 0);
  node.http().set_max_idle_per_server(static_cast<std::size_t>(spare) /
                                      gateways);
  node.loop().Every(kDispatchPeriod, [this] { DispatchQueue(); });
}

auto RequestApi::ReadRequest(const ApiCall& call, core::Reason& reason)
    -> OpenPtr {
  if (call.caller.is_operator) {
    reason = {core::ErrorKind::kForbidden, "authorization",
              "Operators cannot send requests; use a client account's token."};
    return nullptr;
  }
  auto open = std::make_shared<OpenRequest>(call);
  open->deadline = DeadlineOf(call.request);
  open->idempotent = call.request.header("x-idempotent") != "false";
  open->key = call.request.header("idempotency-key");
  if ((!open->idempotent || !open->key.empty()) && !IsValidKey(open->key)) {
    reason = {core::ErrorKind::kBadInput, "idempotency-key",
              "The idempotency-key header, which a request with "
              "\"x-idempotent: false\" needs, has 1 to 128 printable "
              "characters."};
    return nullptr;
  }
  // Headers that are passed on are checked here: a minion that cannot read them
  // would fail, and the next one after it.
  if (!IsValidContentType(call.request.header("content-type"))) {
    reason = {core::ErrorKind::kBadInput, "content-type",
              "The content-type header has only printable characters."};
    return nullptr;
  }
  return open;
}

auto RequestApi::Submit(const ApiCall& call) -> void {
  core::Reason reason;
  const auto open = ReadRequest(call, reason);
  if (open == nullptr || !Admit(*open, reason)) {
    node_.metrics().Count("requests_refused", "kind",
                          std::string(core::ErrorInfoOf(reason.kind).name));
    const auto& answer = core::ErrorInfoOf(reason.kind);
    call.reply.Send(
        {answer.http_status,
         {{"content-type", "application/json"},
          {"x-conclusion", std::string(core::NameOf(answer.conclusion))}},
         core::ToJsonText(core::ToErrorBody(reason)) + "\n"});
    return;
  }
  open->id = next_id_++;
  open_requests_[open->id] = open;
  if (open->idempotent) {
    Enqueue(open);
  } else {
    RecordIntent(open);
  }
}

auto RequestApi::Admit(const OpenRequest& open, core::Reason& reason) -> bool {
  const auto now = core::MonotonicNow();
  const auto& account = open.account();
  const auto* row = node_.log().cluster_state().table().FindRow(account);
  auto& ledger = share_exchange_.ledger();
  ledger.SetTotal(ConcurrencyResource(account), row->concurrency);
  ledger.SetTotal(RateResource(account), kRateUnits);
  ledger.RecordUse(RateResource(account), now);
  if (!router_.HasAcceptingMinion(now)) {
    reason = {core::ErrorKind::kNoEndpoint, "", "No minion accepts requests."};
    return false;
  }
  if (queue_.LengthOf(account) >= static_cast<std::size_t>(row->queue)) {
    reason = {core::ErrorKind::kQueueFull, "queue",
              "The account's queue at this gateway is full."};
    return false;
  }
  if (!CanMeetDeadline(open, row->weight)) {
    reason = {core::ErrorKind::kTooLate, "x-deadline-ms",
              "The wait behind queued requests would exceed the deadline."};
    return false;
  }
  const auto share =
      static_cast<double>(ledger.Held(RateResource(account), now)) /
      static_cast<double>(kRateUnits);
  const auto rate = row->rate_per_s * share;
  auto& bucket = rate_buckets_[account];
  const auto min_capacity = row->rate_per_s > 0 ? 1.0 : 0.0;
  bucket.Refill(rate, std::max(min_capacity, rate * kRateBurstSeconds), now);
  if (share < 1 && bucket.tokens() < rate * kRateBurstSeconds / 2) {
    ledger.RequestUnits(RateResource(account), kRateUnits, now);
  }
  if (!bucket.TryConsume(1)) {
    reason = {
        core::ErrorKind::kOverLimit, "rate_per_s",
        "The account sends more requests per second than its row allows."};
    return false;
  }
  return true;
}

auto RequestApi::CanMeetDeadline(const OpenRequest& open, double weight) const
    -> bool {
  constexpr double kMillisPerSecond = 1000;
  const auto ahead = queue_.LengthOf(open.account());
  if (ahead == 0) {
    return true;
  }
  const auto per_second =
      router_.throughput() * queue_.WeightShareOf(open.account(), weight);
  const auto wait =
      static_cast<double>(ahead + 1) * kMillisPerSecond / per_second;
  const auto left = static_cast<double>(open.deadline - core::MonotonicNow());
  return wait + router_.service_time() <= left;
}

auto RequestApi::RecordIntent(const OpenPtr& open) -> void {
  intents_.RecordIntent(open, [this, open](const IntentDecision& decision) {
    switch (decision.kind) {
      case IntentDecision::Kind::kMayRun:
        Enqueue(open);
        return;
      case IntentDecision::Kind::kRepeated:
        Finish(open, decision.answer);
        return;
      case IntentDecision::Kind::kRefused:
        Fail(open, decision.refusal.kind, decision.refusal.message);
        return;
    }
  });
}

auto RequestApi::Enqueue(const OpenPtr& open) -> void {
  open->queue_span = std::make_shared<node::HopSpan>(
      node_.tracer(), open->call.request.header("traceparent"), "queue");
  const auto* row =
      node_.log().cluster_state().table().FindRow(open->account());
  queue_.Push({open->id, open->account(), row == nullptr ? 1 : row->weight,
               open->deadline});
  DispatchQueue();
}

auto RequestApi::DispatchQueue() -> void {
  if (std::exchange(dispatching_, true)) {
    return;
  }
  const auto now = core::MonotonicNow();
  // A lone request delays no other one, so it may start although it would
  // probably miss its deadline.
  const auto min_time_left =
      kAnswerMargin + (queue_.size() > 1
                           ? static_cast<core::Millis>(router_.service_time())
                           : 0);
  for (const auto& queued : queue_.RemoveExpired(now + min_time_left)) {
    Fail(open_requests_.at(queued.id), core::ErrorKind::kTooLate,
         "No slot became free before the deadline.");
  }
  std::optional<request::Route> route;
  while (const auto next =
             queue_.Pop([&](const request::QueuedRequest& queued) {
               route = AcquireRoute(queued);
               return route.has_value();
             })) {
    SendTo(open_requests_.at(next->id), *route);
  }
  if (queue_.size() > 0) {
    router_.RequestSlots(now);
  }
  dispatching_ = false;
}

auto RequestApi::AcquireRoute(const request::QueuedRequest& queued)
    -> std::optional<request::Route> {
  auto& open = *open_requests_.at(queued.id);
  const auto now = core::MonotonicNow();
  auto& ledger = share_exchange_.ledger();
  const request::RouteQuery query{open.tried_minions, now,
                                  AttemptDeadline(open), open.idempotent,
                                  MayCrossRegions(open)};
  if (!open.concurrency_unit) {
    const auto name = ConcurrencyResource(open.account());
    open.concurrency_unit = ledger.Acquire(name, now, router_.LatestEnd(query));
    if (!open.concurrency_unit) {
      const auto* row =
          node_.log().cluster_state().table().FindRow(open.account());
      ledger.RequestUnits(name, row == nullptr ? 0 : row->concurrency, now);
      return std::nullopt;
    }
  }
  auto route = router_.Acquire(query);
  if (!route) {
    // Another request of the account may be able to use the unit.
    ReleaseConcurrency(open);
  }
  return route;
}

auto RequestApi::AttemptDeadline(const OpenRequest& open) const
    -> core::Millis {
  if (!open.idempotent) {
    return open.deadline - kAnswerMargin;
  }
  const auto span = std::max(
      kMinAttempt,
      static_cast<core::Millis>(kAttemptFactor * router_.service_time()));
  return std::min(open.deadline - kAnswerMargin, core::MonotonicNow() + span);
}

auto RequestApi::MayCrossRegions(const OpenRequest& open) -> bool {
  const auto gateways = node_.PeersOf(node::Role::kGateway, "").size() + 1;
  const auto rate = static_cast<double>(node_.settings().link_bytes_per_s) /
                    static_cast<double>(gateways);
  link_bucket_.Refill(rate, rate, core::MonotonicNow());
  return link_bucket_.tokens() >=
         static_cast<double>(open.call.request.body.size());
}

auto RequestApi::ChargeLink(const OpenRequest& open,
                            const request::Route& route,
                            std::size_t bytes) -> void {
  if (route.crosses_regions) {
    link_bucket_.Charge(static_cast<double>(bytes));
    node_.metrics().Count("link_bytes", "account", open.account(),
                          static_cast<double>(bytes));
  }
}

}  // namespace kcm::gateway
