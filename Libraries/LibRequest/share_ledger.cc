#include "LibRequest/share_ledger.h"

#include <algorithm>
#include <utility>

#include "LibCore/check.h"
#include "LibRequest/slot_share.h"

namespace kcm::request {

namespace {

/// A borrowed unit that was idle for so long goes back.
constexpr core::Millis kIdleSpan = 500;
/// Loans of successive processes never share a number.
constexpr std::int64_t kLoansPerIncarnation = 1000000;

}  // namespace

ShareLedger::ShareLedger(LedgerSettings settings, core::Millis now)
    : settings_(std::move(settings)),
      started_at_(now),
      next_loan_(settings_.incarnation * kLoansPerIncarnation + 1) {
  std::sort(settings_.gateways.begin(), settings_.gateways.end());
}

auto ShareLedger::SetTotal(const std::string& name, std::int64_t total)
    -> void {
  auto& resource = resources_[name];
  if (resource.total == total) {
    return;
  }
  resource.total = total;
  resource.owned = OwnedSlots(name, total, settings_.self, settings_.gateways);
}

auto ShareLedger::IsUsable(core::Millis now) const -> bool {
  return acknowledged_.size() + 1 >= settings_.gateways.size() ||
         now >= started_at_ + settings_.lease + settings_.margin;
}

auto ShareLedger::OwnFree(const Resource& resource, core::Millis now) const
    -> std::int64_t {
  if (!IsUsable(now)) {
    return 0;
  }
  return std::max<std::int64_t>(
      resource.owned - resource.own_busy - resource.lent, 0);
}

auto ShareLedger::Available(const std::string& name,
                            core::Millis now,
                            core::Millis until) const -> std::int64_t {
  const auto found = resources_.find(name);
  if (found == resources_.end()) {
    return 0;
  }
  auto free = OwnFree(found->second, now);
  for (const auto& loan_name : found->second.borrowed) {
    const auto& loan = borrowed_.at(loan_name);
    free += until <= loan.ends_at ? loan.count - loan.busy : 0;
  }
  return free;
}

auto ShareLedger::Held(const std::string& name, core::Millis now) const
    -> std::int64_t {
  const auto found = resources_.find(name);
  if (found == resources_.end()) {
    return 0;
  }
  const auto& resource = found->second;
  auto held = IsUsable(now) ? resource.owned - resource.lent : 0;
  for (const auto& loan_name : resource.borrowed) {
    const auto& loan = borrowed_.at(loan_name);
    held += now < loan.ends_at ? loan.count : 0;
  }
  return std::max<std::int64_t>(held, 0);
}

auto ShareLedger::Acquire(const std::string& name,
                          core::Millis now,
                          core::Millis until) -> std::optional<ShareUse> {
  const auto found = resources_.find(name);
  if (found == resources_.end()) {
    return std::nullopt;
  }
  auto& resource = found->second;
  if (OwnFree(resource, now) > 0) {
    ++resource.own_busy;
    return ShareUse{name, "", 0};
  }
  for (const auto& loan_name : resource.borrowed) {
    auto& loan = borrowed_.at(loan_name);
    if (until <= loan.ends_at && loan.busy < loan.count) {
      ++loan.busy;
      loan.used_at = now;
      return ShareUse{name, loan_name.first, loan_name.second};
    }
  }
  return std::nullopt;
}

auto ShareLedger::Release(const ShareUse& use,
                          core::Millis now,
                          core::Millis free_at) -> void {
  if (free_at > now) {
    holds_.push_back({free_at, use});
    return;
  }
  Free(use, now);
}

auto ShareLedger::Free(const ShareUse& use, core::Millis now) -> void {
  if (use.owner.empty()) {
    auto& resource = resources_[use.resource];
    KCM_CHECK(resource.own_busy > 0);
    --resource.own_busy;
    return;
  }
  const auto found = borrowed_.find({use.owner, use.loan});
  if (found == borrowed_.end()) {
    // The lease has lapsed meanwhile and the owner counts the unit again.
    return;
  }
  KCM_CHECK(found->second.busy > 0);
  --found->second.busy;
  found->second.used_at = now;
}

auto ShareLedger::Want(const std::string& name,
                       std::int64_t count,
                       core::Millis now) -> void {
  auto& resource = resources_[name];
  resource.wanted = std::min(std::max(resource.wanted, count), resource.total);
  resource.wanted_at = now;
}

auto ShareLedger::Touch(const std::string& name, core::Millis now) -> void {
  for (const auto& loan_name : resources_[name].borrowed) {
    borrowed_.at(loan_name).used_at = now;
  }
}

auto ShareLedger::Tick(core::Millis now) -> std::vector<LedgerSend> {
  std::vector<LedgerSend> sends;
  for (auto& hold : holds_) {
    if (hold.free_at <= now) {
      Free(hold.use, now);
    }
  }
  std::erase_if(holds_, [&](const auto& hold) { return hold.free_at <= now; });
  DropLapsed(now);
  GiveBackIdle(now, sends);
  AskForWanted(now, sends);
  SayHello(now, sends);
  return sends;
}

auto ShareLedger::DropLapsed(core::Millis now) -> void {
  std::erase_if(lent_, [&](const auto& entry) {
    if (entry.second.lapses_at > now) {
      return false;
    }
    resources_[entry.second.resource].lent -= entry.second.count;
    return true;
  });
  std::erase_if(borrowed_, [&](const auto& entry) {
    if (entry.second.ends_at > now) {
      return false;
    }
    resources_[entry.second.resource].borrowed.erase(entry.first);
    return true;
  });
}

auto ShareLedger::ShouldGiveBack(const Borrowed& loan, core::Millis now) const
    -> bool {
  return loan.busy < loan.count &&
         (loan.recalled || now - loan.used_at >= kIdleSpan ||
          loan.ends_at - now < settings_.lease / 3);
}

auto ShareLedger::GiveBackIdle(core::Millis now, std::vector<LedgerSend>& sends)
    -> void {
  std::map<std::string, LedgerSend> by_owner;
  for (auto entry = borrowed_.begin(); entry != borrowed_.end();) {
    const auto name = entry->first;
    auto& loan = entry->second;
    if (!ShouldGiveBack(loan, now)) {
      ++entry;
      continue;
    }
    loan.count = loan.busy;
    const auto& owner = name.first;
    if (loan.owner_incarnation == peer_incarnations_[owner]) {
      auto& send =
          by_owner
              .try_emplace(owner,
                           MessageTo(owner, LedgerMessageType::kGiveBack))
              .first->second;
      send.message.entries.push_back({loan.resource, name.second, loan.count});
    }
    if (loan.count > 0) {
      ++entry;
      continue;
    }
    resources_[loan.resource].borrowed.erase(name);
    entry = borrowed_.erase(entry);
  }
  for (auto& [owner, send] : by_owner) {
    sends.push_back(std::move(send));
  }
}

auto ShareLedger::AskForWanted(core::Millis now, std::vector<LedgerSend>& sends)
    -> void {
  std::vector<LoanEntry> wanted;
  std::map<std::string, std::vector<LoanEntry>> recalls;
  for (auto& [name, resource] : resources_) {
    if (std::exchange(resource.wanted, 0) == 0) {
      continue;
    }
    wanted.push_back({name, 0, resource.total});
    if (resource.lent == 0) {
      continue;
    }
    for (const auto& [number, loan] : lent_) {
      if (loan.resource == name) {
        recalls[loan.borrower].push_back({name, number, loan.count});
      }
    }
  }
  for (const auto& [borrower, entries] : recalls) {
    sends.push_back(MessageTo(borrower, LedgerMessageType::kRecall));
    sends.back().message.entries = entries;
  }
  if (wanted.empty()) {
    return;
  }
  for (const auto& peer : settings_.gateways) {
    if (peer != settings_.self) {
      sends.push_back(MessageTo(peer, LedgerMessageType::kAsk));
      sends.back().message.asked_at = now;
      sends.back().message.entries = wanted;
    }
  }
}

auto ShareLedger::SayHello(core::Millis now,
                           std::vector<LedgerSend>& sends) const -> void {
  if (IsUsable(now)) {
    return;
  }
  for (const auto& peer : settings_.gateways) {
    if (peer != settings_.self && !acknowledged_.contains(peer)) {
      sends.push_back(MessageTo(peer, LedgerMessageType::kHello));
    }
  }
}

auto ShareLedger::MessageTo(const std::string& peer,
                            LedgerMessageType type) const -> LedgerSend {
  const auto known = peer_incarnations_.find(peer);
  return {peer,
          {type,
           settings_.incarnation,
           known == peer_incarnations_.end() ? 0 : known->second,
           0,
           {}}};
}

}  // namespace kcm::request
