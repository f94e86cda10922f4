#include "LibDispatch/lease_row.h"

#include <algorithm>
#include <string_view>

#include "LibCore/json_decode.h"

namespace kcm::dispatch {

namespace {

using core::Json;

constexpr std::string_view kLeasePrefix = "l/";
/// Rows of earlier versions have no witnesses, and later ones no address.
constexpr std::size_t kNumbers = 3;
constexpr std::size_t kAddressElement = 4;

/// Reads the address of a worker, which a row may lack.
/// @return false if it is invalid.
auto DecodeAddress(const Json& row, core::Address& address) -> bool {
  if (row.size() <= kAddressElement) {
    return true;
  }
  const auto& text = row[kAddressElement];
  core::Reason unnamed;
  const auto parsed =
      text.is_string()
          ? core::ParseAddress(text.get<std::string>(), "address", unnamed)
          : std::nullopt;
  address = parsed.value_or(core::Address{});
  return parsed.has_value();
}

}  // namespace

auto EncodeLeaseRow(const LeaseRow& row) -> StateRow {
  auto document = Json::array(
      {row.incarnation, row.remaining_ms, row.series, ToJson(row.witnesses)});
  if (!row.address.host.empty()) {
    document.push_back(row.address.ToString());
  }
  const auto bytes = Json::to_msgpack(document);
  return {std::string(kLeasePrefix) + row.worker, {bytes.begin(), bytes.end()}};
}

auto DeletedLeaseRow(const std::string& worker) -> StateRow {
  return {std::string(kLeasePrefix) + worker, ""};
}

auto IsLeaseRow(const StateRow& row) -> bool {
  return row.key.starts_with(kLeasePrefix) && !row.value.empty();
}

auto DecodeLeaseRow(const StateRow& row, core::Reason& reason)
    -> std::optional<LeaseRow> {
  const auto document = core::ParseMessagePack(row.value);
  const auto is_list =
      document.is_array() && document.size() >= kNumbers &&
      document.size() <= kAddressElement + 1 &&
      std::all_of(
          document.begin(), document.begin() + kNumbers,
          [](const Json& member) { return core::ToWholeNumber(member); });
  const auto witnesses = is_list && document.size() > kNumbers
                             ? ClockWitnessesFromJson(document[kNumbers])
                             : ClockWitnesses{};
  if (!is_list || !witnesses) {
    reason = {core::ErrorKind::kBadInput, "",
              "The lease row is not three whole numbers in range and a list of "
              "witnesses."};
    return std::nullopt;
  }
  LeaseRow lease{row.key.substr(kLeasePrefix.size()), document[0], document[1],
                 document[2], *witnesses};
  if (!DecodeAddress(document, lease.address)) {
    reason = {core::ErrorKind::kBadInput, "address",
              "The lease row names no valid address."};
    return std::nullopt;
  }
  if (lease.worker.empty()) {
    reason = {core::ErrorKind::kBadInput, "", "The lease row names no worker."};
    return std::nullopt;
  }
  return lease;
}

}  // namespace kcm::dispatch
