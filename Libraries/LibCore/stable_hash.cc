#include "LibCore/stable_hash.h"

#include <xxhash.h>

namespace kcm::core {

auto StableHash(std::string_view text) -> std::uint64_t {
  return XXH64(text.data(), text.size(), 0);
}

}  // namespace kcm::core
