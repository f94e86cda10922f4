// Handlers of the messages by which gateways request, lend and return units.

#include <algorithm>
#include <utility>

#include "LibRequest/share_ledger.h"

namespace kcm::request {

namespace {

/// An owner that requested units itself within this time lends none.
constexpr core::Millis kOwnDemandWindow = 500;

}  // namespace

auto ShareLedger::HandleMessage(const std::string& from,
                                const LedgerMessage& message,
                                core::Millis now)
    -> std::vector<OutgoingLedgerMessage> {
  auto& known = peer_incarnations_[from];
  if (message.incarnation < known) {
    // An earlier incarnation of the peer sent this; its loans are void.
    return {};
  }
  known = message.incarnation;
  switch (message.type) {
    case LedgerMessageType::kHello:
      return HandleHello(from, message);
    case LedgerMessageType::kHelloAck:
      HandleHelloAck(from, message);
      return {};
    case LedgerMessageType::kBorrowRequest:
      return HandleBorrowRequest(from, message, now);
    case LedgerMessageType::kGrant:
      HandleGrant(from, message, now);
      return {};
    case LedgerMessageType::kReturn:
      HandleReturn(from, message);
      return {};
    case LedgerMessageType::kRecall:
      HandleRecall(from, message);
      return {};
  }
  return {};
}

auto ShareLedger::HandleHello(const std::string& from,
                              const LedgerMessage& message)
    -> std::vector<OutgoingLedgerMessage> {
  bool holds_old_loans = false;
  for (auto& [name, loan] : borrowed_) {
    if (name.first == from && loan.owner_incarnation != message.incarnation) {
      // AdvanceTimers() returns the idle units; those in use must end first.
      loan.recalled = true;
      loan.count = loan.in_use;
      holds_old_loans = holds_old_loans || loan.in_use > 0;
    }
  }
  if (holds_old_loans) {
    return {};
  }
  return {MessageTo(from, LedgerMessageType::kHelloAck)};
}

auto ShareLedger::HandleHelloAck(const std::string& from,
                                 const LedgerMessage& message) -> void {
  if (message.peer_incarnation == settings_.incarnation) {
    acknowledged_.insert(from);
  }
}

auto ShareLedger::HandleBorrowRequest(const std::string& from,
                                      const LedgerMessage& message,
                                      core::Millis now)
    -> std::vector<OutgoingLedgerMessage> {
  auto grant = MessageTo(from, LedgerMessageType::kGrant);
  grant.message.asked_at = message.asked_at;
  for (const auto& entry : message.entries) {
    const auto found = resources_.find(entry.resource);
    if (found == resources_.end()) {
      continue;
    }
    auto& resource = found->second;
    const bool needed = resource.requested_at >= 0 &&
                        now - resource.requested_at < kOwnDemandWindow;
    // Lends half of the idle units, so that other gateways can borrow as well.
    const auto count =
        needed ? 0
               : std::min(entry.count, (FreeOwnUnits(resource, now) + 1) / 2);
    if (count <= 0) {
      continue;
    }
    const auto number = next_loan_++;
    lent_[number] = {entry.resource, from, count,
                     now + settings_.lease + settings_.clock_drift_margin};
    resource.lent += count;
    grant.message.entries.push_back({entry.resource, number, count});
  }
  if (grant.message.entries.empty()) {
    return {};
  }
  return {std::move(grant)};
}

auto ShareLedger::HandleGrant(const std::string& from,
                              const LedgerMessage& message,
                              core::Millis now) -> void {
  const auto expires_at = message.asked_at + settings_.lease;
  if (message.peer_incarnation != settings_.incarnation || expires_at <= now) {
    return;
  }
  for (const auto& entry : message.entries) {
    const LoanKey name{from, entry.loan};
    if (borrowed_.contains(name)) {
      continue;
    }
    borrowed_[name] = {
        entry.resource, message.incarnation, entry.count, 0, expires_at, now,
        false};
    resources_[entry.resource].borrowed.insert(name);
  }
}

auto ShareLedger::HandleReturn(const std::string& from,
                               const LedgerMessage& message) -> void {
  if (message.peer_incarnation != settings_.incarnation) {
    return;
  }
  for (const auto& entry : message.entries) {
    const auto found = lent_.find(entry.loan);
    if (found == lent_.end() || found->second.borrower != from) {
      continue;
    }
    auto& loan = found->second;
    const auto kept = std::clamp<std::int64_t>(entry.count, 0, loan.count);
    resources_[loan.resource].lent -= loan.count - kept;
    loan.count = kept;
    if (kept == 0) {
      lent_.erase(found);
    }
  }
}

auto ShareLedger::HandleRecall(const std::string& from,
                               const LedgerMessage& message) -> void {
  for (const auto& entry : message.entries) {
    const auto found = borrowed_.find({from, entry.loan});
    if (found != borrowed_.end() &&
        found->second.owner_incarnation == message.incarnation) {
      found->second.recalled = true;
    }
  }
}

}  // namespace kcm::request
