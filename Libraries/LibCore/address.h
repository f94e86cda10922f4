#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "LibCore/reason.h"

namespace kcm::core {

/// An IPv4 address and port.
struct Address {
  std::string host;
  std::uint16_t port = 0;

  auto operator<=>(const Address&) const =
      default;  // NOLINT(modernize-use-nullptr)

  /// @return "host:port".
  [[nodiscard]] auto ToString() const -> std::string {
    return host + ":" + std::to_string(port);
  }
};

/// Parses "host:port". The host is an IPv4 address: a name would be looked up
/// when a connection is opened, which blocks the process.
/// @param text for example "127.0.0.1:8001".
/// @param field the setting named in the reason on failure.
/// @return the address, or nothing with `reason` of kind kBadInput.
[[nodiscard]] auto ParseAddress(std::string_view text,
                                std::string_view field,
                                Reason& reason) -> std::optional<Address>;

}  // namespace kcm::core
