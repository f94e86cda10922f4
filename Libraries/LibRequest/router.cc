#include "LibRequest/router.h"

#include <algorithm>
#include <array>
#include <tuple>
#include <utility>

#include "LibCore/check.h"
#include "LibCore/stable_hash.h"

namespace kcm::request {

namespace {

/// Time without requests for a minion that reported it is leaving.
constexpr core::Millis kLeavingExclusion = 60000;
/// Value of DistanceTo() for a minion of another region.
constexpr int kOtherRegion = 2;
constexpr core::Millis kMinOverrun = 100;
constexpr double kOverrunFactor = 2;

}  // namespace

/// How a strategy chooses, and whether it excludes ejected and remote minions.
struct Router::StrategyTraits {
  RoutingStrategy strategy;
  Choose choose;
  bool uses_health;
};

auto Router::TraitsOf(RoutingStrategy strategy) -> const StrategyTraits& {
  static constexpr std::array kRows = {
      StrategyTraits{RoutingStrategy::kLeastLoaded, &Router::ChooseLeastLoaded,
                     true},
      StrategyTraits{RoutingStrategy::kRoundRobin, &Router::ChooseRoundRobin,
                     false},
      StrategyTraits{RoutingStrategy::kRandomTwo, &Router::ChooseRandomTwo,
                     false},
  };
  return kRows[static_cast<std::size_t>(strategy)];
}

Router::Router(RouterSettings settings, ShareLedger& ledger)
    : settings_(std::move(settings)), ledger_(ledger) {}

auto Router::SetMinions(const std::vector<MinionView>& minions) -> void {
  list_received_ = true;
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

auto Router::LatestEnd(const RouteQuery& query) const -> core::Millis {
  // A minion may still execute an attempt that the gateway has abandoned.
  return query.attempt_deadline + kMinOverrun +
         static_cast<core::Millis>(kOverrunFactor * service_time_.mean());
}

auto Router::IsCandidate(const Minion& minion, const RouteQuery& query) const
    -> bool {
  if (!Accepts(minion, query.now) || query.excluded.contains(minion.view.id) ||
      ledger_.Available(minion.resource, query.now, LatestEnd(query)) == 0) {
    return false;
  }
  if (!TraitsOf(settings_.strategy).uses_health) {
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
  auto& chosen = *(this->*TraitsOf(settings_.strategy).choose)(candidates);
  const auto slot =
      ledger_.Acquire(chosen.resource, query.now, LatestEnd(query));
  KCM_CHECK(slot.has_value());
  chosen.health.RecordSend(query.now);
  ++chosen.in_flight;
  ++in_flight_;
  return Route{chosen.view.id,
               *slot,
               DistanceTo(chosen) == kOtherRegion,
               query.now,
               query.attempt_deadline,
               LatestEnd(query)};
}

auto Router::ChooseLeastLoaded(const std::vector<Minion*>& candidates)
    -> Minion* {
  // Rotates the start, so that equally ranked minions share the load.
  ++selection_counter_;
  const auto start = selection_counter_ % candidates.size();
  Minion* best = nullptr;
  // A due probe goes first: without it an ejection never ends.
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

auto Router::ChooseRoundRobin(const std::vector<Minion*>& candidates)
    -> Minion* {
  return candidates[selection_counter_++ % candidates.size()];
}

auto Router::ChooseRandomTwo(const std::vector<Minion*>& candidates)
    -> Minion* {
  // Hashes of a counter replace random numbers, to stay deterministic.
  const auto pick = [&] {
    const auto hash = core::StableHash(std::to_string(selection_counter_++));
    return candidates[hash % candidates.size()];
  };
  auto* first = pick();
  auto* second = pick();
  return second->in_flight < first->in_flight ? second : first;
}

auto Router::EndAttempt(const Route& route,
                        core::Millis now,
                        core::Millis free_at) -> Minion& {
  const auto found = minions_.find(route.minion);
  KCM_CHECK(found != minions_.end() && found->second.in_flight > 0);
  --found->second.in_flight;
  --in_flight_;
  ledger_.Release(route.slot, now, free_at);
  return found->second;
}

auto Router::RecordAnswer(const Route& route, core::Millis now) -> void {
  const auto span = now - route.sent_at;
  EndAttempt(route, now, now).health.RecordAnswer(now, span, median_ms_);
  service_time_.Add(span);
  ++answers_since_update_;
}

auto Router::RecordRefusal(const Route& route, core::Millis now) -> void {
  EndAttempt(route, now, now).health.RecordRefusal(now);
}

auto Router::RecordFailure(const Route& route,
                           core::Millis now,
                           bool may_still_run) -> void {
  EndAttempt(route, now, may_still_run ? route.latest_end : now)
      .health.RecordFailure(now);
}

auto Router::MarkLeaving(const std::string& minion, core::Millis now) -> bool {
  const auto found = minions_.find(minion);
  if (found == minions_.end()) {
    return false;
  }
  const bool accepted = Accepts(found->second, now);
  found->second.leaving_until = now + kLeavingExclusion;
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

auto Router::UpdateHealth(core::Millis now) -> std::vector<std::string> {
  UpdateMedian(now);
  UpdateThroughput(now);
  std::vector<std::string> ejected;
  if (!TraitsOf(settings_.strategy).uses_health) {
    return ejected;
  }
  for (auto& [id, minion] : minions_) {
    const bool outlier = Accepts(minion, now) && !minion.health.IsEjected() &&
                         minion.health.IsOutlier(now, median_ms_);
    if (outlier && MayEjectOneMore(now)) {
      minion.health.Eject(now);
      ejected.push_back(id);
    }
  }
  return ejected;
}

auto Router::UpdateMedian(core::Millis now) -> void {
  std::vector<double> means;
  for (const auto& [id, minion] : minions_) {
    if (Accepts(minion, now) && minion.health.service_time().samples() > 0) {
      means.push_back(minion.health.service_time().mean());
    }
  }
  if (means.empty()) {
    return;
  }
  // The lower median: it stays low even if half of the minions are slow.
  const auto middle =
      means.begin() + static_cast<std::ptrdiff_t>((means.size() - 1) / 2);
  std::nth_element(means.begin(), middle, means.end());
  median_ms_ = *middle;
}

auto Router::UpdateThroughput(core::Millis now) -> void {
  constexpr double kMillisPerSecond = 1000;
  constexpr double kRateWeight = 0.2;
  if (throughput_updated_at_ >= 0 && now > throughput_updated_at_) {
    const auto rate = static_cast<double>(answers_since_update_) *
                      kMillisPerSecond /
                      static_cast<double>(now - throughput_updated_at_);
    answers_per_s_ += kRateWeight * (rate - answers_per_s_);
  }
  throughput_updated_at_ = now;
  answers_since_update_ = 0;
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

auto Router::RequestSlots(core::Millis now) -> void {
  for (const auto& [id, minion] : minions_) {
    if (Accepts(minion, now) && !minion.health.IsEjected()) {
      ledger_.RequestUnits(minion.resource, settings_.slots_per_minion, now);
    }
  }
}

auto Router::HasAcceptingMinion(core::Millis now) const -> bool {
  return !list_received_ ||
         std::any_of(minions_.begin(), minions_.end(), [&](const auto& entry) {
           return Accepts(entry.second, now);
         });
}

}  // namespace kcm::request
