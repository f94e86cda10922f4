#include "LibRequest/share_ledger.h"

#include <algorithm>
#include <utility>

#include "LibCore/check.h"
#include "LibRequest/slot_share.h"

namespace kcm::request {

namespace {

/// A borrowed unit that was idle for this time is returned.
constexpr core::Millis kIdleReturnDelay = 500;
/// Keeps the loan numbers of successive incarnations distinct.
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
  resource.owned = OwnedUnits(name, total, settings_.self, settings_.gateways);
}

auto ShareLedger::MayUseOwnUnits(core::Millis now) const -> bool {
  return acknowledged_.size() + 1 >= settings_.gateways.size() ||
         now >= started_at_ + settings_.lease + settings_.clock_drift_margin;
}

auto ShareLedger::FreeOwnUnits(const Resource& resource, core::Millis now) const
    -> std::int64_t {
  if (!MayUseOwnUnits(now)) {
    return 0;
  }
  return std::max<std::int64_t>(
      resource.owned - resource.own_in_use - resource.lent, 0);
}

auto ShareLedger::Available(const std::string& name,
                            core::Millis now,
                            core::Millis until) const -> std::int64_t {
  const auto found = resources_.find(name);
  if (found == resources_.end()) {
    return 0;
  }
  auto free = FreeOwnUnits(found->second, now);
  for (const auto& loan_key : found->second.borrowed) {
    const auto& loan = borrowed_.at(loan_key);
    free += until <= loan.expires_at ? loan.count - loan.in_use : 0;
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
  auto held = MayUseOwnUnits(now) ? resource.owned - resource.lent : 0;
  for (const auto& loan_key : resource.borrowed) {
    const auto& loan = borrowed_.at(loan_key);
    held += now < loan.expires_at ? loan.count : 0;
  }
  return std::max<std::int64_t>(held, 0);
}

auto ShareLedger::Acquire(const std::string& name,
                          core::Millis now,
                          core::Millis until) -> std::optional<AcquiredUnit> {
  const auto found = resources_.find(name);
  if (found == resources_.end()) {
    return std::nullopt;
  }
  auto& resource = found->second;
  if (FreeOwnUnits(resource, now) > 0) {
    ++resource.own_in_use;
    return AcquiredUnit{name, "", 0};
  }
  for (const auto& loan_key : resource.borrowed) {
    auto& loan = borrowed_.at(loan_key);
    if (until <= loan.expires_at && loan.in_use < loan.count) {
      ++loan.in_use;
      loan.last_used_at = now;
      return AcquiredUnit{name, loan_key.first, loan_key.second};
    }
  }
  return std::nullopt;
}

auto ShareLedger::Release(const AcquiredUnit& use,
                          core::Millis now,
                          core::Millis free_at) -> void {
  if (free_at > now) {
    delayed_releases_.push_back({free_at, use});
    return;
  }
  ReleaseNow(use, now);
}

auto ShareLedger::ReleaseNow(const AcquiredUnit& use, core::Millis now)
    -> void {
  if (use.owner.empty()) {
    auto& resource = resources_[use.resource];
    KCM_CHECK(resource.own_in_use > 0);
    --resource.own_in_use;
    return;
  }
  const auto found = borrowed_.find({use.owner, use.loan});
  if (found == borrowed_.end()) {
    // The lease has expired and the owner counts the unit as its own again.
    return;
  }
  KCM_CHECK(found->second.in_use > 0);
  --found->second.in_use;
  found->second.last_used_at = now;
}

auto ShareLedger::RequestUnits(const std::string& name,
                               std::int64_t count,
                               core::Millis now) -> void {
  auto& resource = resources_[name];
  resource.requested =
      std::min(std::max(resource.requested, count), resource.total);
  resource.requested_at = now;
}

auto ShareLedger::RecordUse(const std::string& name, core::Millis now) -> void {
  for (const auto& loan_key : resources_[name].borrowed) {
    borrowed_.at(loan_key).last_used_at = now;
  }
}

auto ShareLedger::AdvanceTimers(core::Millis now)
    -> std::vector<OutgoingLedgerMessage> {
  std::vector<OutgoingLedgerMessage> outgoing;
  for (auto& release : delayed_releases_) {
    if (release.free_at <= now) {
      ReleaseNow(release.unit, now);
    }
  }
  std::erase_if(delayed_releases_,
                [&](const auto& release) { return release.free_at <= now; });
  DropExpiredLoans(now);
  ReturnIdleUnits(now, outgoing);
  SendBorrowRequests(now, outgoing);
  SendHello(now, outgoing);
  return outgoing;
}

auto ShareLedger::DropExpiredLoans(core::Millis now) -> void {
  std::erase_if(lent_, [&](const auto& entry) {
    if (entry.second.expires_at > now) {
      return false;
    }
    resources_[entry.second.resource].lent -= entry.second.count;
    return true;
  });
  std::erase_if(borrowed_, [&](const auto& entry) {
    if (entry.second.expires_at > now) {
      return false;
    }
    resources_[entry.second.resource].borrowed.erase(entry.first);
    return true;
  });
}

auto ShareLedger::ShouldReturn(const BorrowedLoan& loan, core::Millis now) const
    -> bool {
  return loan.in_use < loan.count &&
         (loan.recalled || now - loan.last_used_at >= kIdleReturnDelay ||
          loan.expires_at - now < settings_.lease / 3);
}

auto ShareLedger::ReturnIdleUnits(core::Millis now,
                                  std::vector<OutgoingLedgerMessage>& outgoing)
    -> void {
  std::map<std::string, OutgoingLedgerMessage> by_owner;
  for (auto entry = borrowed_.begin(); entry != borrowed_.end();) {
    const auto name = entry->first;
    auto& loan = entry->second;
    if (!ShouldReturn(loan, now)) {
      ++entry;
      continue;
    }
    loan.count = loan.in_use;
    const auto& owner = name.first;
    if (loan.owner_incarnation == peer_incarnations_[owner]) {
      auto& give_back =
          by_owner
              .try_emplace(owner, MessageTo(owner, LedgerMessageType::kReturn))
              .first->second;
      give_back.message.entries.push_back(
          {loan.resource, name.second, loan.count});
    }
    if (loan.count > 0) {
      ++entry;
      continue;
    }
    resources_[loan.resource].borrowed.erase(name);
    entry = borrowed_.erase(entry);
  }
  for (auto& [owner, give_back] : by_owner) {
    outgoing.push_back(std::move(give_back));
  }
}

auto ShareLedger::SendBorrowRequests(
    core::Millis now,
    std::vector<OutgoingLedgerMessage>& outgoing) -> void {
  std::vector<LoanEntry> requested;
  std::map<std::string, std::vector<LoanEntry>> recalls;
  for (auto& [name, resource] : resources_) {
    if (std::exchange(resource.requested, 0) == 0) {
      continue;
    }
    requested.push_back({name, 0, resource.total});
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
    outgoing.push_back(MessageTo(borrower, LedgerMessageType::kRecall));
    outgoing.back().message.entries = entries;
  }
  if (requested.empty()) {
    return;
  }
  for (const auto& peer : settings_.gateways) {
    if (peer != settings_.self) {
      outgoing.push_back(MessageTo(peer, LedgerMessageType::kBorrowRequest));
      outgoing.back().message.asked_at = now;
      outgoing.back().message.entries = requested;
    }
  }
}

auto ShareLedger::SendHello(core::Millis now,
                            std::vector<OutgoingLedgerMessage>& outgoing) const
    -> void {
  if (MayUseOwnUnits(now)) {
    return;
  }
  for (const auto& peer : settings_.gateways) {
    if (peer != settings_.self && !acknowledged_.contains(peer)) {
      outgoing.push_back(MessageTo(peer, LedgerMessageType::kHello));
    }
  }
}

auto ShareLedger::MessageTo(const std::string& peer,
                            LedgerMessageType type) const
    -> OutgoingLedgerMessage {
  const auto known = peer_incarnations_.find(peer);
  return {peer,
          {type,
           settings_.incarnation,
           known == peer_incarnations_.end() ? 0 : known->second,
           0,
           {}}};
}

}  // namespace kcm::request
