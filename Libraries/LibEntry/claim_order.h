#pragma once

#include <string>
#include <vector>

#include "LibCore/clock.h"

namespace kcm::entry {

/// A process that may hold the term, with what decides how well it is suited.
struct Candidate {
  /// Address for its peers, which orders equal candidates.
  std::string address;
  /// Processor capacity in cores; zero if it is unknown or the process cannot
  /// hold the term now.
  double cpu_capacity = 0;
  /// The store is in another region, so that each append crosses between
  /// regions.
  bool is_store_remote = false;
  /// It is about to exit.
  bool is_draining = false;
};

/// @return whether a process has so much more processor capacity than another
///     one that it should hold the term instead; false if either is unknown.
[[nodiscard]] auto HasClearlyMoreCapacity(const Candidate& candidate,
                                          const Candidate& other) -> bool;

/// @return whether a process is to claim before another one: in the region of
///     the store first, then by capacity, then by a hash of the address.
[[nodiscard]] auto ClaimsBefore(const Candidate& left, const Candidate& right)
    -> bool;

/// @return the part of ClaimDelay() that makes equally suited processes claim
///     one after the other: by capacity, then by a hash of the address.
[[nodiscard]] auto ClaimSpread(const Candidate& self,
                               const std::vector<Candidate>& live_peers)
    -> core::Millis;

/// @param live_peers the other processes known to be alive.
/// @param holder_capacity processor capacity of the last holder in cores, zero
///     if unknown: after a loss of all machines nothing else tells a process
///     that better suited ones are about to start.
/// @return how long the term must be vacant before a process claims it: longer
///     for one in another region than the store, and for one that has clearly
///     less capacity than a live peer or the last holder.
[[nodiscard]] auto ClaimDelay(const Candidate& self,
                              const std::vector<Candidate>& live_peers,
                              double holder_capacity) -> core::Millis;

}  // namespace kcm::entry
