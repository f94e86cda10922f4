#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "LibCore/clock.h"
#include "LibCore/enum_names.h"
#include "LibCore/json.h"

namespace kcm::request {

/// What a gateway tells another one about shares.
enum class LedgerMessageType : std::uint8_t {
  /// The sender has started and knows no loans of its predecessor.
  kHello,
  /// The sender holds no loan of the receiver's predecessor.
  kHelloAck,
  /// The sender wants to borrow units.
  kAsk,
  /// The sender lends units, counted from the time of the ask.
  kGrant,
  /// The sender keeps only `count` units of each loan.
  kGiveBack,
  /// The sender wants its units back as soon as they are idle.
  kRecall,
};

/// Units of one resource, and the loan they belong to.
struct LoanEntry {
  std::string resource;
  /// Number of the loan at its owner; zero in asks and recalls.
  std::int64_t loan = 0;
  std::int64_t count = 0;
};

KCM_JSON(LoanEntry, resource, loan, count)

}  // namespace kcm::request

template <>
struct kcm::core::EnumNames<kcm::request::LedgerMessageType> {
  using Enum = kcm::request::LedgerMessageType;
  static constexpr std::array<EnumName<Enum>, 6> kRows = {{
      {Enum::kHello, "hello"},
      {Enum::kHelloAck, "hello_ack"},
      {Enum::kAsk, "ask"},
      {Enum::kGrant, "grant"},
      {Enum::kGiveBack, "give_back"},
      {Enum::kRecall, "recall"},
  }};
};

namespace kcm::request {

/// One message between the ledgers of two gateways.
struct LedgerMessage {
  LedgerMessageType type = LedgerMessageType::kHello;
  /// Start time of the sender, which tells it from its predecessors.
  std::int64_t incarnation = 0;
  /// Start time of the receiver as far as the sender knows it.
  std::int64_t peer_incarnation = 0;
  /// The borrower's monotonic clock before it asked; echoed by the owner.
  core::Millis asked_at = 0;
  std::vector<LoanEntry> entries;
};

KCM_JSON(LedgerMessage, type, incarnation, peer_incarnation, asked_at, entries)

/// A message with the peer that it goes to.
struct LedgerSend {
  std::string peer;
  LedgerMessage message;
};

}  // namespace kcm::request
