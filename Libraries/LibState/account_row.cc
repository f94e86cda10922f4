#include "LibState/account_row.h"

#include <array>

#include "LibCore/field_table.h"
#include "LibCore/json_decode.h"

namespace kcm::state {

namespace {

constexpr double kDigestLength = 64;

const std::array kRowFields = {
    core::Field<AccountRow>{"account", &AccountRow::account, true, 1,
                            kMaxNameLength, "name of the client account"},
    core::Field<AccountRow>{"version", &AccountRow::version, false, 0, 1e15,
                            "version that the operator saw"},
    core::Field<AccountRow>{"weight", &AccountRow::weight, false, 0.001, 1e6,
                            "share of what is free"},
    core::Field<AccountRow>{"rate_per_s", &AccountRow::rate_per_s, false, 0,
                            1e7, "requests a second over all gateways"},
    core::Field<AccountRow>{"concurrency", &AccountRow::concurrency, false, 0,
                            1e6, "requests in flight over all gateways"},
    core::Field<AccountRow>{"queue", &AccountRow::queue, false, 0, 1e6,
                            "requests that wait at one gateway"},
    core::Field<AccountRow>{"accelerators", &AccountRow::accelerators, false, 0,
                            1e6, "accelerators in use at once"},
    core::Field<AccountRow>{"urgent_accelerators",
                            &AccountRow::urgent_accelerators, false, 0, 1e6,
                            "accelerators of urgent jobs at once"},
    core::Field<AccountRow>{"may_borrow", &AccountRow::may_borrow, false, 0, 1,
                            "whether idle capacity of others may be used"},
    core::Field<AccountRow>{"token_sha256", &AccountRow::token_sha256, false,
                            kDigestLength, kDigestLength,
                            "digest of the account's token"},
};

const std::array kGuaranteeFields = {
    core::Field<Guarantee>{"data_centre", &Guarantee::data_centre, true, 1,
                           kMaxNameLength, "data centre that holds it"},
    core::Field<Guarantee>{"count", &Guarantee::count, false, 1, 1e5,
                           "gangs of this shape"},
};

auto ReadGuarantee(const core::Json& document, core::Reason& reason)
    -> std::optional<Guarantee> {
  constexpr std::array<std::string_view, 1> kExtra = {"shape"};
  auto guarantee =
      core::ReadFields<Guarantee>(kGuaranteeFields, document, kExtra, reason);
  if (!guarantee) {
    return std::nullopt;
  }
  const auto shape =
      ReadShape(document.value("shape", core::Json::object()), reason);
  if (!shape) {
    reason.field = "shape." + reason.field;
    return std::nullopt;
  }
  guarantee->shape = *shape;
  return guarantee;
}

}  // namespace

auto ReadAccountRow(const core::Json& document, core::Reason& reason)
    -> std::optional<AccountRow> {
  constexpr std::array<std::string_view, 1> kExtra = {"guarantees"};
  auto row = core::ReadFields<AccountRow>(kRowFields, document, kExtra, reason);
  if (!row) {
    return std::nullopt;
  }
  const auto guarantees = document.value("guarantees", core::Json::array());
  if (!guarantees.is_array()) {
    return reason.Fail(core::ErrorKind::kBadInput, "guarantees",
                       "guarantees is " + core::DescribeValue(guarantees) +
                           "; allowed is a list of shapes by data centre.");
  }
  for (std::size_t i = 0; i < guarantees.size(); ++i) {
    auto guarantee = ReadGuarantee(guarantees[i], reason);
    if (!guarantee) {
      reason.field = "guarantees[" + std::to_string(i) + "]." + reason.field;
      return std::nullopt;
    }
    row->guarantees.push_back(std::move(*guarantee));
  }
  return row;
}

}  // namespace kcm::state
