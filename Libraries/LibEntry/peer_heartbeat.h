#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "LibCore/clock.h"
#include "LibCore/json.h"
#include "LibCore/reason.h"

namespace kcm::entry {

/// What the sender of a heartbeat knows about another entry process.
struct PeerNote {
  /// As "host:port".
  std::string address;
  double cpu_capacity = 0;
  bool is_store_remote = false;
  /// Time since the last known heartbeat of the process.
  core::Millis heard_ms = 0;
  bool is_draining = false;
};

KCM_JSON(PeerNote,
         address,
         cpu_capacity,
         is_store_remote,
         heard_ms,
         is_draining)

/// State of one entry process, and the newest state of the term holder that it
/// has received.
struct PeerHeartbeat {
  std::string name;
  /// Address for the sender's peers, as "host:port".
  std::string address;
  /// Processor capacity of the sender's VM in cores; zero if it is unknown or
  /// the sender cannot hold the term now.
  double cpu_capacity = 0;
  /// The store is in another region than the sender.
  bool is_store_remote = false;
  /// The sender is about to exit.
  bool is_draining = false;
  /// Version of the routes in force at the sender.
  std::int64_t routes_version = 0;
  /// Epoch of the newest term in the sender's view; zero for none.
  std::int64_t epoch = 0;
  std::string holder;
  std::string holder_address;
  /// In cores; zero if unknown.
  double holder_cpu_capacity = 0;
  /// Time since the last known heartbeat of the holder.
  core::Millis heard_ms = 0;
  /// The sender receives the holder's heartbeats directly.
  bool hears_directly = false;
  /// The sender holds the term.
  bool is_holder = false;
  /// The sender holds the term but is still reading the state.
  bool is_recovering = false;
  /// For how long the holder's appends to the store have failed; zero if they
  /// succeed.
  core::Millis storeless_ms = 0;
  /// The holder has resigned its term.
  bool resigned = false;
  /// Number of jobs in phase kQueued, by queue; set by the holder only.
  std::map<std::string, std::int64_t> pending;
  /// Some of the processes that the sender knows; see PeerDirectory.
  std::vector<PeerNote> notes;
};

KCM_JSON(PeerHeartbeat,
         name,
         address,
         cpu_capacity,
         is_store_remote,
         is_draining,
         routes_version,
         epoch,
         holder,
         holder_address,
         holder_cpu_capacity,
         heard_ms,
         hears_directly,
         is_holder,
         is_recovering,
         storeless_ms,
         resigned,
         pending,
         notes)

/// Longest heartbeat that is read. Former versions named all processes.
inline constexpr std::size_t kMaxHeartbeatBytes = std::size_t{64} * 1024;

/// @return the heartbeat without the notes beyond the most that one names, or
///     nothing with `reason` of kind kBadInput if it is too long or no document
///     of this form.
[[nodiscard]] auto DecodeHeartbeat(const std::string& text,
                                   core::Reason& reason)
    -> std::optional<PeerHeartbeat>;

}  // namespace kcm::entry
