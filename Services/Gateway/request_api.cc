#include "request_api.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "LibCore/clock.h"

namespace kcm::gateway {

namespace {

constexpr core::Millis kDefaultDeadline = 10000;
constexpr core::Millis kMaxDeadline = 600000;
constexpr core::Millis kDispatchPeriod = 20;
constexpr core::Millis kMinAttempt = 3000;
constexpr double kAttemptFactor = 10;
/// The answer has to reach the caller before its deadline.
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

auto IsGoodKey(const std::string& key) -> bool {
  return !key.empty() && key.size() <= kMaxKeyLength &&
         std::all_of(key.begin(), key.end(),
                     [](char c) { return c > ' ' && c <= '~'; });
}

auto RateOf(const std::string& account) -> std::string {
  return "rate/" + account;
}

auto ConcurrencyOf(const std::string& account) -> std::string {
  return "concurrency/" + account;
}

}  // namespace

RequestApi::RequestApi(node::Node& node)
    : node_(node),
      minions_(node.http()),
      shares_(node),
      router_(RouterSettingsOf(node), shares_.ledger()),
      watch_(node, router_),
      intents_(node),
      queue_(core::ValueOf<request::QueueOrder>(node.settings().queue_order)
                 .value_or(request::QueueOrder::kFirstIn)) {
  // All gateways together keep within the connections of a minion: those in
  // use are bounded by its slots, the idle ones by what is left.
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
              "Operators send no requests; use a client account's token."};
    return nullptr;
  }
  auto open = std::make_shared<OpenRequest>(call);
  open->deadline = DeadlineOf(call.request);
  open->idempotent = call.request.header("x-idempotent") != "false";
  open->key = call.request.header("idempotency-key");
  if (!open->idempotent && !IsGoodKey(open->key)) {
    reason = {core::ErrorKind::kBadInput, "idempotency-key",
              "A request with \"x-idempotent: false\" needs an "
              "idempotency-key header of 1 to 128 printable characters."};
    return nullptr;
  }
  return open;
}

auto RequestApi::Submit(const ApiCall& call) -> void {
  core::Reason reason;
  const auto open = ReadRequest(call, reason);
  if (open == nullptr || !Admit(*open, reason)) {
    node_.metrics().Count("requests_refused", "kind",
                          std::string(core::AnswerOf(reason.kind).name));
    const auto& answer = core::AnswerOf(reason.kind);
    call.reply.Send(
        {answer.http_status,
         {{"content-type", "application/json"},
          {"x-conclusion", std::string(core::NameOf(answer.conclusion))}},
         core::ToErrorBody(reason).dump() + "\n"});
    return;
  }
  open->id = next_id_++;
  open_[open->id] = open;
  if (open->idempotent) {
    Enqueue(open);
  } else {
    RecordIntent(open);
  }
}

auto RequestApi::Admit(const OpenRequest& open, core::Reason& reason) -> bool {
  const auto now = core::MonotonicNow();
  const auto& account = open.account();
  const auto* row = node_.log().world().table().FindRow(account);
  auto& ledger = shares_.ledger();
  ledger.SetTotal(ConcurrencyOf(account), row->concurrency);
  ledger.SetTotal(RateOf(account), kRateUnits);
  ledger.Touch(RateOf(account), now);
  if (!router_.HasMinions(now)) {
    reason = {core::ErrorKind::kNoEndpoint, "", "No minion takes work."};
    return false;
  }
  if (queue_.SizeOf(account) >= static_cast<std::size_t>(row->queue)) {
    reason = {core::ErrorKind::kQueueFull, "queue",
              "The account's queue at this gateway is full."};
    return false;
  }
  if (!CanMakeDeadline(open, row->weight)) {
    reason = {core::ErrorKind::kTooLate, "x-deadline-ms",
              "The requests ahead take longer than the deadline leaves."};
    return false;
  }
  const auto share = static_cast<double>(ledger.Held(RateOf(account), now)) /
                     static_cast<double>(kRateUnits);
  const auto rate = row->rate_per_s * share;
  auto& bucket = rates_[account];
  const auto least = row->rate_per_s > 0 ? 1.0 : 0.0;
  bucket.Refill(rate, std::max(least, rate * kRateBurstSeconds), now);
  if (share < 1 && bucket.tokens() < rate * kRateBurstSeconds / 2) {
    ledger.Want(RateOf(account), kRateUnits, now);
  }
  if (!bucket.Take(1)) {
    reason = {core::ErrorKind::kOverLimit, "rate_per_s",
              "The account sends more requests a second than its row allows."};
    return false;
  }
  return true;
}

auto RequestApi::CanMakeDeadline(const OpenRequest& open, double weight) const
    -> bool {
  constexpr double kMillisPerSecond = 1000;
  const auto ahead = queue_.SizeOf(open.account());
  if (ahead == 0) {
    return true;
  }
  const auto per_second =
      router_.throughput() * queue_.ShareOf(open.account(), weight);
  const auto wait =
      static_cast<double>(ahead + 1) * kMillisPerSecond / per_second;
  const auto left = static_cast<double>(open.deadline - core::MonotonicNow());
  return wait + router_.service_time() <= left;
}

auto RequestApi::RecordIntent(const OpenPtr& open) -> void {
  intents_.Record(open, [this, open](const IntentDecision& decision) {
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
  const auto* row = node_.log().world().table().FindRow(open->account());
  queue_.Push({open->id, open->account(), row == nullptr ? 1 : row->weight,
               open->deadline});
  DispatchQueue();
}

auto RequestApi::DispatchQueue() -> void {
  if (std::exchange(dispatching_, true)) {
    return;
  }
  const auto now = core::MonotonicNow();
  // Nobody else is kept waiting by a lone request that may still make it.
  const auto least =
      kAnswerMargin + (queue_.size() > 1
                           ? static_cast<core::Millis>(router_.service_time())
                           : 0);
  for (const auto& waiting : queue_.TakeLate(now + least)) {
    Fail(open_.at(waiting.id), core::ErrorKind::kTooLate,
         "No slot came free in time for the deadline.");
  }
  std::optional<request::Route> route;
  while (const auto next = queue_.Pop([&](const request::Waiting& waiting) {
    route = TryStart(waiting);
    return route.has_value();
  })) {
    SendTo(open_.at(next->id), *route);
  }
  if (queue_.size() > 0) {
    router_.WantSlots(now);
  }
  dispatching_ = false;
}

auto RequestApi::TryStart(const request::Waiting& waiting)
    -> std::optional<request::Route> {
  auto& open = *open_.at(waiting.id);
  const auto now = core::MonotonicNow();
  auto& ledger = shares_.ledger();
  const request::RouteQuery query{open.tried, now, AttemptEnd(open),
                                  open.idempotent, MayCrossRegions(open)};
  if (!open.concurrency) {
    const auto name = ConcurrencyOf(open.account());
    open.concurrency = ledger.Acquire(name, now, router_.FreeBy(query));
    if (!open.concurrency) {
      const auto* row = node_.log().world().table().FindRow(open.account());
      ledger.Want(name, row == nullptr ? 0 : row->concurrency, now);
      return std::nullopt;
    }
  }
  auto route = router_.Acquire(query);
  if (!route) {
    // Another request of the account may have a better chance meanwhile.
    ReleaseConcurrency(open);
  }
  return route;
}

auto RequestApi::AttemptEnd(const OpenRequest& open) const -> core::Millis {
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
  link_.Refill(rate, rate, core::MonotonicNow());
  return link_.tokens() >= static_cast<double>(open.call.request.body.size());
}

auto RequestApi::SpendLink(const OpenRequest& open,
                           const request::Route& route,
                           std::size_t bytes) -> void {
  if (route.crosses_regions) {
    link_.Spend(static_cast<double>(bytes));
    node_.metrics().Count("link_bytes", "account", open.account(),
                          static_cast<double>(bytes));
  }
}

}  // namespace kcm::gateway
