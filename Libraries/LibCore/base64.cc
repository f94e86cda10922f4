#include "LibCore/base64.h"

#include <openssl/evp.h>

#include <algorithm>

namespace kcm::core {

namespace {

constexpr std::size_t kBytesPerGroup = 3;
constexpr std::size_t kDigitsPerGroup = 4;

auto ToUnsigned(const char* text) -> const unsigned char* {
  return reinterpret_cast<const unsigned char*>(text);
}

}  // namespace

auto ToBase64(std::string_view bytes) -> std::string {
  const auto groups = (bytes.size() + kBytesPerGroup - 1) / kBytesPerGroup;
  // EVP_EncodeBlock terminates its output with a zero byte.
  std::string text(groups * kDigitsPerGroup + 1, '\0');
  EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                  ToUnsigned(bytes.data()), static_cast<int>(bytes.size()));
  text.pop_back();
  return text;
}

auto FromBase64(std::string_view text) -> std::optional<std::string> {
  if (text.size() % kDigitsPerGroup != 0) {
    return std::nullopt;
  }
  std::string bytes(text.size() / kDigitsPerGroup * kBytesPerGroup, '\0');
  const auto size =
      EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                      ToUnsigned(text.data()), static_cast<int>(text.size()));
  if (size < 0) {
    return std::nullopt;
  }
  const auto padding = static_cast<std::size_t>(
      std::count(text.end() - std::min<std::ptrdiff_t>(2, std::ssize(text)),
                 text.end(), '='));
  bytes.resize(static_cast<std::size_t>(size) - padding);
  return bytes;
}

}  // namespace kcm::core
