#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "LibCore/json.h"
#include "LibCore/reason.h"
#include "LibState/shape.h"

namespace kcm::state {

/// A shape that a client account can claim in one data centre at any time.
struct Guarantee {
  std::string data_centre;
  /// How many gangs of this shape.
  std::int64_t count = 1;
  Shape shape;

  auto operator==(const Guarantee&) const -> bool = default;
};

KCM_JSON(Guarantee, data_centre, count, shape)

/// One row of the operators' table: weights and limits of a client account.
struct AccountRow {
  std::string account;
  /// Incremented by each accepted edit; zero means the row does not exist.
  std::int64_t version = 0;
  /// Share of what is free: accounts are compared by their use beyond their
  /// guarantees, divided by this.
  double weight = 1;
  /// Most requests a second over all gateways.
  double rate_per_s = 1000;
  /// Most requests in flight over all gateways.
  std::int64_t concurrency = 256;
  /// Most requests that wait at one gateway.
  std::int64_t queue = 256;
  /// Most accelerators that the account's jobs use at once.
  std::int64_t accelerators = 64;
  /// Most accelerators that the account's urgent jobs use at once.
  std::int64_t urgent_accelerators = 8;
  /// Whether preemptible jobs may use idle capacity that is guaranteed to other
  /// accounts.
  bool may_borrow = true;
  /// SHA-256 of the account's token, in hexadecimal.
  std::string token_sha256;
  std::vector<Guarantee> guarantees;
};

KCM_JSON(AccountRow,
         account,
         version,
         weight,
         rate_per_s,
         concurrency,
         queue,
         accelerators,
         urgent_accelerators,
         may_borrow,
         token_sha256,
         guarantees)

/// Reads and validates a row of a request.
/// @return the row, or nothing with `reason` naming the column, the value and
///     what is allowed.
[[nodiscard]] auto ReadAccountRow(const core::Json& document,
                                  core::Reason& reason)
    -> std::optional<AccountRow>;

}  // namespace kcm::state
