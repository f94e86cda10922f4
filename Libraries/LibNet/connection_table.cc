#include "LibNet/connection_table.h"

#include <sys/resource.h>

#include <algorithm>
#include <array>
#include <iterator>

namespace kcm::net {

namespace {

constexpr std::size_t kBytesPerMb = std::size_t{1024} * 1024;
/// The rest is for state, workers and the store. What is counted is an upper
/// estimate: three times a body, for the copies that handling it makes.
constexpr std::size_t kMemoryShare = 4;
/// An entry VM of unknown size is taken for one of the usual larger ones.
constexpr std::size_t kUnknownMemoryMb = 512;
/// Half of the descriptors is for idle connections to workers, the store and
/// peers, and a quarter for calls to them that are in flight.
constexpr std::size_t kDescriptorShare = 4;
constexpr std::size_t kUnknownDescriptors = 1024;
/// A request of this size is taken while others use up the bytes: a head of the
/// usual limit, as it is counted. So ordinary callers are still answered.
constexpr std::size_t kOrdinaryBytes = 65536;
/// ...up to this excess over the bound, as a part of it.
constexpr std::size_t kExcessShare = 4;

auto DescriptorLimit() -> std::size_t {
  rlimit limit{};
  return getrlimit(RLIMIT_NOFILE, &limit) == 0 &&
                 limit.rlim_cur != RLIM_INFINITY
             ? static_cast<std::size_t>(limit.rlim_cur)
             : kUnknownDescriptors;
}

}  // namespace

auto MakeConnectionBounds(std::int64_t memory_mb, std::int64_t max_descriptors)
    -> ConnectionBounds {
  const auto megabytes =
      memory_mb > 0 ? static_cast<std::size_t>(memory_mb) : kUnknownMemoryMb;
  const auto descriptors = max_descriptors > 0
                               ? static_cast<std::size_t>(max_descriptors)
                               : DescriptorLimit();
  return {megabytes * kBytesPerMb / kMemoryShare,
          std::max(descriptors / kDescriptorShare, std::size_t{1})};
}

auto ConnectionTable::Add(ClosableConnection& connection) -> Handle {
  unproven_.push_back({.connection = &connection});
  return std::prev(unproven_.end());
}

auto ConnectionTable::Remove(Handle entry) -> void {
  SetBytes(entry, 0);
  ListOf(*entry).erase(entry);
}

auto ConnectionTable::SetBytes(Handle entry, std::size_t bytes) -> void {
  if (entry->is_closing) {
    return;
  }
  connection_bytes_ += bytes;
  connection_bytes_ -= entry->bytes;
  entry->bytes = bytes;
}

auto ConnectionTable::RecordRequest(Handle entry) -> void {
  auto& list = ListOf(*entry);
  entry->is_proven = true;
  entry->phase = ConnectionPhase::kHandling;
  proven_.splice(proven_.end(), list, entry);
}

auto ConnectionTable::EnforceBytes(Handle added) -> void {
  while (bytes() > bounds_.bytes) {
    const auto average =
        connection_bytes_ / std::max(connections(), std::size_t{1});
    auto* victim = FindVictim(std::max(average, std::size_t{1}));
    if (victim == nullptr) {
      if (added->phase == ConnectionPhase::kReceiving && !added->is_closing &&
          (added->bytes > kOrdinaryBytes ||
           bytes() > bounds_.bytes + bounds_.bytes / kExcessShare)) {
        Close(*added, RefusalKind::kMemory);
      }
      return;
    }
    Close(*victim, RefusalKind::kMemory);
  }
}

auto ConnectionTable::MakeRoom() -> bool {
  if (!is_full()) {
    return true;
  }
  auto* victim = FindVictim(0);
  if (victim != nullptr) {
    Close(*victim, RefusalKind::kConnections);
  }
  return victim != nullptr;
}

auto ConnectionTable::FindVictim(std::size_t min_bytes) -> Entry* {
  constexpr std::array kOrder = {
      ConnectionPhase::kRefused, ConnectionPhase::kStalled,
      ConnectionPhase::kReceiving, ConnectionPhase::kAnswering};
  for (const auto phase : kOrder) {
    for (auto* list : {&unproven_, &proven_}) {
      for (auto& entry : *list) {
        if (entry.phase == phase && !entry.is_closing &&
            entry.bytes >= min_bytes) {
          return &entry;
        }
      }
    }
  }
  return nullptr;
}

auto ConnectionTable::Close(Entry& entry, RefusalKind kind) -> void {
  entry.is_closing = true;
  connection_bytes_ -= entry.bytes;
  entry.bytes = 0;
  entry.connection->Close(kind);
}

}  // namespace kcm::net
