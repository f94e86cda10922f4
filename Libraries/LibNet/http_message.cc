#include "LibNet/http_message.h"

#include <event2/http.h>

#include <cstdlib>

namespace kcm::net {

auto DecodeUri(std::string_view text) -> std::string {
  std::size_t size = 0;
  char* decoded = evhttp_uridecode(std::string(text).c_str(), 1, &size);
  if (decoded == nullptr) {
    return std::string(text);
  }
  std::string result(decoded, size);
  std::free(decoded);
  return result;
}

auto EncodeUri(std::string_view text) -> std::string {
  char* encoded =
      evhttp_uriencode(text.data(), static_cast<ev_ssize_t>(text.size()), 0);
  if (encoded == nullptr) {
    return std::string(text);
  }
  std::string result(encoded);
  std::free(encoded);
  return result;
}

}  // namespace kcm::net
