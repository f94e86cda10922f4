#include "LibCore/identity.h"

#include <openssl/evp.h>
#include <openssl/rand.h>

#include <array>

#include "LibCore/check.h"

namespace kcm::core {

namespace {

auto ToHex(const unsigned char* bytes, std::size_t size) -> std::string {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text;
  text.reserve(size * 2);
  for (std::size_t i = 0; i < size; ++i) {
    text.push_back(kDigits[bytes[i] >> 4U]);
    text.push_back(kDigits[bytes[i] & 15U]);
  }
  return text;
}

}  // namespace

auto MakeId(std::string_view prefix) -> std::string {
  std::array<unsigned char, 16> bytes{};
  KCM_CHECK(RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) == 1);
  return std::string(prefix) + "-" + ToHex(bytes.data(), bytes.size());
}

auto Sha256Hex(std::string_view text) -> std::string {
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int size = 0;
  const auto done = EVP_Digest(text.data(), text.size(), digest.data(), &size,
                               EVP_sha256(), nullptr);
  KCM_CHECK(done == 1);
  return ToHex(digest.data(), size);
}

}  // namespace kcm::core
