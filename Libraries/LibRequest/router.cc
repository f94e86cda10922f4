#include "LibRequest/router.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "LibCore/check.h"
#include "LibRequest/slot_share.h"

namespace kcm::request {

Router::Router(RouterSettings settings) : settings_(std::move(settings)) {
  std::sort(settings_.gateways.begin(), settings_.gateways.end());
}

auto Router::SetMinions(const std::vector<MinionView>& minions) -> void {
  for (auto& [id, minion] : minions_) {
    minion.listed = false;
  }
  for (const auto& view : minions) {
    auto& minion = minions_[view.id];
    minion.view = view;
    minion.listed = true;
    minion.leaving = minion.leaving || view.leaving;
    minion.owned = OwnedSlots(view.id, settings_.slots_per_minion,
                              settings_.gateway, settings_.gateways);
  }
  std::erase_if(minions_, [](const auto& entry) {
    return !entry.second.listed && entry.second.in_flight == 0;
  });
}

auto Router::DistanceTo(const Minion& minion) const -> int {
  if (minion.view.data_centre == settings_.data_centre) {
    return 0;
  }
  return minion.view.region == settings_.region ? 1 : 2;
}

auto Router::Acquire(const std::set<std::string>& avoid)
    -> std::optional<std::string> {
  Minion* best = nullptr;
  const auto rank = [this](const Minion& minion) {
    return std::tuple(DistanceTo(minion), minion.in_flight, minion.view.id);
  };
  for (auto& [id, minion] : minions_) {
    const bool usable = minion.listed && !minion.leaving &&
                        minion.in_flight < minion.owned && !avoid.contains(id);
    if (usable && (best == nullptr || rank(minion) < rank(*best))) {
      best = &minion;
    }
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  ++best->in_flight;
  return best->view.id;
}

auto Router::Release(const std::string& minion) -> void {
  const auto found = minions_.find(minion);
  KCM_CHECK(found != minions_.end() && found->second.in_flight > 0);
  --found->second.in_flight;
}

auto Router::MarkLeaving(const std::string& minion) -> void {
  const auto found = minions_.find(minion);
  if (found != minions_.end()) {
    found->second.leaving = true;
  }
}

auto Router::HasMinions() const -> bool {
  return std::any_of(minions_.begin(), minions_.end(), [](const auto& entry) {
    return entry.second.listed && !entry.second.leaving;
  });
}

auto Router::in_flight() const -> std::int64_t {
  std::int64_t sum = 0;
  for (const auto& [id, minion] : minions_) {
    sum += minion.in_flight;
  }
  return sum;
}

}  // namespace kcm::request
