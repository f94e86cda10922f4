#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "LibCore/clock.h"
#include "LibCore/enum_names.h"
#include "LibCore/json.h"

namespace kcm::request {

/// Kinds of messages between the share ledgers of two gateways. The names on
/// the wire (EnumNames below) differ for kBorrowRequest and kReturn.
enum class LedgerMessageType : std::uint8_t {
  /// The sender has restarted and has no record of the units that it lent.
  kHello,
  /// The sender uses no unit that the receiver lent before its restart.
  kHelloAck,
  /// The sender requests a loan of units.
  kBorrowRequest,
  /// The sender lends units; the lease starts at `asked_at`.
  kGrant,
  /// The sender returns all but `count` units of each loan.
  kReturn,
  /// The sender requests its units back as soon as they are idle.
  kRecall,
};

/// Units of one resource and the loan that they belong to.
struct LoanEntry {
  std::string resource;
  /// Number that the owner gave the loan; zero in borrow requests.
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
      {Enum::kBorrowRequest, "ask"},
      {Enum::kGrant, "grant"},
      {Enum::kReturn, "give_back"},
      {Enum::kRecall, "recall"},
  }};
};

namespace kcm::request {

/// One message between the ledgers of two gateways.
struct LedgerMessage {
  LedgerMessageType type = LedgerMessageType::kHello;
  /// Start time of the sender; a restart gets a higher one.
  std::int64_t incarnation = 0;
  /// Last incarnation of the receiver that the sender has seen; zero if none.
  std::int64_t peer_incarnation = 0;
  /// The borrower's monotonic clock before its request; echoed in the grant.
  core::Millis asked_at = 0;
  std::vector<LoanEntry> entries;
};

KCM_JSON(LedgerMessage, type, incarnation, peer_incarnation, asked_at, entries)

/// A message and the gateway that it is addressed to.
struct OutgoingLedgerMessage {
  std::string peer;
  LedgerMessage message;
};

}  // namespace kcm::request
