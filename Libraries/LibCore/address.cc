#include "LibCore/address.h"

#include <arpa/inet.h>
#include <netinet/in.h>

#include <charconv>
#include <utility>

#include "LibCore/json_decode.h"

namespace kcm::core {

auto ParseAddress(std::string_view text, std::string_view field, Reason& reason)
    -> std::optional<Address> {
  const auto colon = text.rfind(':');
  const auto fail = [&] {
    return reason.Fail(
        ErrorKind::kBadInput, std::string(field),
        QuoteText(text) +
            " is not an address; allowed is IP:PORT with an IPv4 address "
            "and a port from 1 to 65535.");
  };
  if (colon == std::string_view::npos || colon == 0) {
    return fail();
  }
  const auto digits = text.substr(colon + 1);
  std::uint16_t port = 0;
  const auto [end, error] =
      std::from_chars(digits.data(), digits.data() + digits.size(), port);
  if (error != std::errc() || end != digits.data() + digits.size() ||
      port == 0) {
    return fail();
  }
  std::string host(text.substr(0, colon));
  in_addr unused{};
  if (host.find('\0') != std::string::npos ||
      inet_pton(AF_INET, host.c_str(), &unused) != 1) {
    return fail();
  }
  return Address{std::move(host), port};
}

}  // namespace kcm::core
