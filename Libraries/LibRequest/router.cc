#include "LibRequest/router.h"

#include <algorithm>
#include <array>
#include <tuple>
#include <utility>

#include "LibCore/check.h"
#include "LibCore/stable_hash.h"

namespace kcm::request {

namespace {

/// A minion that said it is leaving is tried again after this span.
constexpr core::Millis kLeavingSpan = 60000;
constexpr int kOtherRegion = 2;
constexpr core::Millis kLeastOverrun = 100;
constexpr double kOverrunFactor = 2;

}  // namespace

/// One strategy, and whether it heeds health and place.
struct Router::StrategyRow {
  RoutingStrategy strategy;
  Choose choose;
  bool heeds_health;
};

auto Router::RowOf(RoutingStrategy strategy) -> const StrategyRow& {
  static constexpr std::array kRows = {
      StrategyRow{RoutingStrategy::kLeastLoaded, &Router::ChooseLeastLoaded,
                  true},
      StrategyRow{RoutingStrategy::kRoundRobin, &Router::ChooseInTurn, false},
      StrategyRow{RoutingStrategy::kRandomTwo, &Router::ChooseOfTwo, false},
  };
  return kRows[static_cast<std::size_t>(strategy)];
}

Router::Router(RouterSettings settings, ShareLedger& ledger)
    : settings_(std::move(settings)), ledger_(ledger) {}

auto Router::SetMinions(const std::vector<MinionView>& minions) -> void {
  list_known_ = true;
  for (auto& [id, minion] : minions_) {
    minion.listed = false;
  }
  for (const auto& view : minions) {
    auto& minion = minions_[view.id];
    minion.view = view;
    minion.listed = true;
    minion.resource = "slot/" + view.id;
    ledger_.SetTotal(minion.resource, settings_.slots_per_minion);
  }
  std::erase_if(minions_, [](const auto& entry) {
    return !entry.second.listed && entry.second.in_flight == 0;
  });
}

auto Router::DistanceTo(const Minion& minion) const -> int {
  if (minion.view.data_centre == settings_.data_centre) {
    return 0;
  }
  return minion.view.region == settings_.region ? 1 : kOtherRegion;
}

auto Router::Accepts(const Minion& minion, core::Millis now) const -> bool {
  return minion.listed && !minion.view.leaving && now >= minion.leaving_until;
}

auto Router::FreeBy(const RouteQuery& query) const -> core::Millis {
  // A minion may work on after the attempt was given up.
  return query.until + kLeastOverrun +
         static_cast<core::Millis>(kOverrunFactor * service_time_.mean());
}

auto Router::IsCandidate(const Minion& minion, const RouteQuery& query) const
    -> bool {
  if (!Accepts(minion, query.now) || query.avoid.contains(minion.view.id) ||
      ledger_.Available(minion.resource, query.now, FreeBy(query)) == 0) {
    return false;
  }
  if (!RowOf(settings_.strategy).heeds_health) {
    return true;
  }
  if (DistanceTo(minion) == kOtherRegion && !query.may_cross_regions) {
    return false;
  }
  return !minion.health.IsEjected() ||
         (query.idempotent && minion.health.MayProbe(query.now));
}

auto Router::Acquire(const RouteQuery& query) -> std::optional<Route> {
  std::vector<Minion*> candidates;
  for (auto& [id, minion] : minions_) {
    if (IsCandidate(minion, query)) {
      candidates.push_back(&minion);
    }
  }
  if (candidates.empty()) {
    return std::nullopt;
  }
  auto& chosen = *(this->*RowOf(settings_.strategy).choose)(candidates);
  const auto slot = ledger_.Acquire(chosen.resource, query.now, FreeBy(query));
  KCM_CHECK(slot.has_value());
  chosen.health.OnSent(query.now);
  ++chosen.in_flight;
  ++in_flight_;
  return Route{chosen.view.id, *slot,       DistanceTo(chosen) == kOtherRegion,
               query.now,      query.until, FreeBy(query)};
}

auto Router::ChooseLeastLoaded(const std::vector<Minion*>& candidates)
    -> Minion* {
  // The turn breaks ties, so that equals share the load.
  ++turn_;
  const auto start = turn_ % candidates.size();
  Minion* best = nullptr;
  // A probe that is due goes first: without it an ejection never ends.
  const auto rank = [this](const Minion& minion) {
    return std::tuple(!minion.health.IsEjected(), DistanceTo(minion),
                      minion.in_flight);
  };
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    auto* minion = candidates[(start + i) % candidates.size()];
    if (best == nullptr || rank(*minion) < rank(*best)) {
      best = minion;
    }
  }
  return best;
}

auto Router::ChooseInTurn(const std::vector<Minion*>& candidates) -> Minion* {
  return candidates[turn_++ % candidates.size()];
}

auto Router::ChooseOfTwo(const std::vector<Minion*>& candidates) -> Minion* {
  // Hashes of a counter stand in for random numbers; the class stays pure.
  const auto pick = [&] {
    const auto hash = core::StableHash(std::to_string(turn_++));
    return candidates[hash % candidates.size()];
  };
  auto* first = pick();
  auto* second = pick();
  return second->in_flight < first->in_flight ? second : first;
}

auto Router::End(const Route& route, core::Millis now, core::Millis free_at)
    -> Minion& {
  const auto found = minions_.find(route.minion);
  KCM_CHECK(found != minions_.end() && found->second.in_flight > 0);
  --found->second.in_flight;
  --in_flight_;
  ledger_.Release(route.slot, now, free_at);
  return found->second;
}

auto Router::OnAnswered(const Route& route, core::Millis now) -> void {
  const auto span = now - route.sent_at;
  End(route, now, now).health.OnAnswered(now, span, typical_ms_);
  service_time_.Add(span);
  ++answers_;
}

auto Router::OnRefused(const Route& route, core::Millis now) -> void {
  End(route, now, now).health.OnRefused(now);
}

auto Router::OnFailed(const Route& route, core::Millis now, bool may_run)
    -> void {
  End(route, now, may_run ? route.free_by : now).health.OnFailed(now);
}

auto Router::MarkLeaving(const std::string& minion, core::Millis now) -> bool {
  const auto found = minions_.find(minion);
  if (found == minions_.end()) {
    return false;
  }
  const bool accepted = Accepts(found->second, now);
  found->second.leaving_until = now + kLeavingSpan;
  return accepted;
}

auto Router::MarkSuspected(const std::string& minion, core::Millis now)
    -> void {
  const auto found = minions_.find(minion);
  if (found != minions_.end() && !found->second.health.IsEjected() &&
      MayEjectOneMore(now)) {
    found->second.health.Eject(now);
  }
}

auto Router::MayEjectOneMore(core::Millis now) const -> bool {
  std::size_t accepting = 0;
  std::size_t ejected = 0;
  for (const auto& [id, minion] : minions_) {
    if (Accepts(minion, now)) {
      ++accepting;
      ejected += minion.health.IsEjected() ? 1 : 0;
    }
  }
  return 2 * (ejected + 1) <= accepting;
}

auto Router::Tick(core::Millis now) -> std::vector<std::string> {
  UpdateTypical(now);
  UpdateThroughput(now);
  std::vector<std::string> ejected;
  if (!RowOf(settings_.strategy).heeds_health) {
    return ejected;
  }
  for (auto& [id, minion] : minions_) {
    const bool outlier = Accepts(minion, now) && !minion.health.IsEjected() &&
                         minion.health.IsOutlier(now, typical_ms_);
    if (outlier && MayEjectOneMore(now)) {
      minion.health.Eject(now);
      ejected.push_back(id);
    }
  }
  return ejected;
}

auto Router::UpdateTypical(core::Millis now) -> void {
  std::vector<double> means;
  for (const auto& [id, minion] : minions_) {
    if (Accepts(minion, now) && minion.health.service_time().samples() > 0) {
      means.push_back(minion.health.service_time().mean());
    }
  }
  if (means.empty()) {
    return;
  }
  // The lower median, so that half of the minions cannot hide their slowness.
  const auto middle =
      means.begin() + static_cast<std::ptrdiff_t>((means.size() - 1) / 2);
  std::nth_element(means.begin(), middle, means.end());
  typical_ms_ = *middle;
}

auto Router::UpdateThroughput(core::Millis now) -> void {
  constexpr double kMillisPerSecond = 1000;
  constexpr double kNewest = 0.2;
  if (counted_at_ >= 0 && now > counted_at_) {
    const auto rate = static_cast<double>(answers_) * kMillisPerSecond /
                      static_cast<double>(now - counted_at_);
    answers_per_s_ += kNewest * (rate - answers_per_s_);
  }
  counted_at_ = now;
  answers_ = 0;
  std::int64_t held = 0;
  for (const auto& [id, minion] : minions_) {
    if (Accepts(minion, now) && !minion.health.IsEjected() &&
        DistanceTo(minion) != kOtherRegion) {
      held += ledger_.Held(minion.resource, now);
    }
  }
  const auto mean = std::max(service_time_.mean(), 1.0);
  throughput_ = std::max(answers_per_s_,
                         static_cast<double>(held) * kMillisPerSecond / mean);
}

auto Router::WantSlots(core::Millis now) -> void {
  for (const auto& [id, minion] : minions_) {
    if (Accepts(minion, now) && !minion.health.IsEjected()) {
      ledger_.Want(minion.resource, settings_.slots_per_minion, now);
    }
  }
}

auto Router::HasMinions(core::Millis now) const -> bool {
  return !list_known_ ||
         std::any_of(minions_.begin(), minions_.end(), [&](const auto& entry) {
           return Accepts(entry.second, now);
         });
}

}  // namespace kcm::request
