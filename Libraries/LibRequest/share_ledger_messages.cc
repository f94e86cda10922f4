// How gateways ask for units, lend them and give them back.

#include <algorithm>
#include <utility>

#include "LibRequest/share_ledger.h"

namespace kcm::request {

namespace {

/// An owner that wanted more itself so lately lends nothing.
constexpr core::Millis kOwnDemandSpan = 500;

}  // namespace

auto ShareLedger::OnMessage(const std::string& from,
                            const LedgerMessage& message,
                            core::Millis now) -> std::vector<LedgerSend> {
  auto& known = peer_incarnations_[from];
  if (message.incarnation < known) {
    // A predecessor of the peer sent this; what it lent is void.
    return {};
  }
  known = message.incarnation;
  switch (message.type) {
    case LedgerMessageType::kHello:
      return OnHello(from, message);
    case LedgerMessageType::kHelloAck:
      OnHelloAck(from, message);
      return {};
    case LedgerMessageType::kAsk:
      return OnAsk(from, message, now);
    case LedgerMessageType::kGrant:
      OnGrant(from, message, now);
      return {};
    case LedgerMessageType::kGiveBack:
      OnGiveBack(from, message);
      return {};
    case LedgerMessageType::kRecall:
      OnRecall(from, message);
      return {};
  }
  return {};
}

auto ShareLedger::OnHello(const std::string& from, const LedgerMessage& message)
    -> std::vector<LedgerSend> {
  bool holds_old_loans = false;
  for (auto& [name, loan] : borrowed_) {
    if (name.first == from && loan.owner_incarnation != message.incarnation) {
      // Idle units go at the next tick; busy ones have to end first.
      loan.recalled = true;
      loan.count = loan.busy;
      holds_old_loans = holds_old_loans || loan.busy > 0;
    }
  }
  if (holds_old_loans) {
    return {};
  }
  return {MessageTo(from, LedgerMessageType::kHelloAck)};
}

auto ShareLedger::OnHelloAck(const std::string& from,
                             const LedgerMessage& message) -> void {
  if (message.peer_incarnation == settings_.incarnation) {
    acknowledged_.insert(from);
  }
}

auto ShareLedger::OnAsk(const std::string& from,
                        const LedgerMessage& message,
                        core::Millis now) -> std::vector<LedgerSend> {
  auto send = MessageTo(from, LedgerMessageType::kGrant);
  send.message.asked_at = message.asked_at;
  for (const auto& entry : message.entries) {
    const auto found = resources_.find(entry.resource);
    if (found == resources_.end()) {
      continue;
    }
    auto& resource = found->second;
    const bool needed =
        resource.wanted_at >= 0 && now - resource.wanted_at < kOwnDemandSpan;
    // Half of what is idle, so that others in need find some as well.
    const auto count =
        needed ? 0 : std::min(entry.count, (OwnFree(resource, now) + 1) / 2);
    if (count <= 0) {
      continue;
    }
    const auto number = next_loan_++;
    lent_[number] = {entry.resource, from, count,
                     now + settings_.lease + settings_.margin};
    resource.lent += count;
    send.message.entries.push_back({entry.resource, number, count});
  }
  if (send.message.entries.empty()) {
    return {};
  }
  return {std::move(send)};
}

auto ShareLedger::OnGrant(const std::string& from,
                          const LedgerMessage& message,
                          core::Millis now) -> void {
  const auto ends_at = message.asked_at + settings_.lease;
  if (message.peer_incarnation != settings_.incarnation || ends_at <= now) {
    return;
  }
  for (const auto& entry : message.entries) {
    const LoanName name{from, entry.loan};
    if (borrowed_.contains(name)) {
      continue;
    }
    borrowed_[name] = {
        entry.resource, message.incarnation, entry.count, 0, ends_at, now,
        false};
    resources_[entry.resource].borrowed.insert(name);
  }
}

auto ShareLedger::OnGiveBack(const std::string& from,
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

auto ShareLedger::OnRecall(const std::string& from,
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
