#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "LibCore/address.h"
#include "LibCore/clock.h"
#include "LibEntry/claim_order.h"
#include "LibEntry/peer_heartbeat.h"

namespace kcm::entry {

/// What one process knows of the other entry processes: which exist, when they
/// were last heard, and which of them it names in a heartbeat or probes.
///
/// Does no I/O and reads no clock. What a heartbeat names and a round of probes
/// reaches is bounded, whatever the number of processes, so that the bytes that
/// all of them exchange grow in proportion to their number.
class PeerDirectory {
 public:
  /// Most processes that a heartbeat names.
  static constexpr std::size_t kMaxNotes = 24;
  /// Processes that are probed in a round while the holder is silent.
  static constexpr std::size_t kProbes = 6;
  /// Most processes that are known at a time.
  static constexpr std::size_t kMaxPeers = 4096;

  explicit PeerDirectory(core::Address self) : self_(std::move(self)) {}

  /// Adds a process that may exist; no effect for a known one, for this one and
  /// if there are too many.
  auto Add(const core::Address& address, core::Millis now) -> void;

  /// Records a heartbeat of a process.
  /// @param reaches_holder it has contact to the newest holder.
  auto RecordHeartbeat(const core::Address& address,
                       const PeerHeartbeat& heartbeat,
                       bool reaches_holder,
                       core::Millis now) -> void;
  /// Records what another process said about one.
  auto RecordNote(const PeerNote& note, core::Millis now) -> void;
  /// A heartbeat to the process got no answer.
  auto RecordFailure(const core::Address& address, core::Millis now) -> void;

  /// Chooses whom to name in the next heartbeat to a process: those that it was
  /// not told of before, and now and then those that claim first and a few
  /// others in turn, as some heartbeats are lost.
  [[nodiscard]] auto NotesFor(const core::Address& recipient, core::Millis now)
      -> std::vector<PeerNote>;

  /// Chooses whom to probe next: those that follow in the order of the
  /// addresses, beginning after this process.
  [[nodiscard]] auto TakeProbes() -> std::vector<core::Address>;
  /// Begins anew after this process, so that the probes of all processes, which
  /// had the same seeds, do not stay together.
  auto ResetProbes() -> void { probed_until_ = self_; }

  /// @return the processes known to be alive.
  [[nodiscard]] auto LivePeers(core::Millis now) const
      -> std::vector<Candidate>;
  /// @return a process with recent contact to this one and to the holder.
  /// @param max_age_ms age of the oldest contact that counts.
  [[nodiscard]] auto FindRelay(const core::Address& holder,
                               core::Millis max_age_ms,
                               core::Millis now) const
      -> std::optional<core::Address>;

  /// Removes processes that nobody has heard for two minutes.
  auto ForgetSilent(core::Millis now) -> void;

  [[nodiscard]] auto addresses() const -> std::vector<core::Address>;
  [[nodiscard]] auto size() const -> std::size_t { return peers_.size(); }

 private:
  struct Peer {
    core::Millis added_at = 0;
    /// Last heartbeat to this process; zero if there was none.
    core::Millis contact_at = 0;
    /// Last heartbeat to this process or, as reported, to another one.
    core::Millis heard_at = 0;
    /// When a heartbeat to it last failed; zero if none did.
    core::Millis failed_at = 0;
    bool reaches_holder = false;
    double cpu_capacity = 0;
    bool is_store_remote = false;
    bool is_draining = false;
    /// Its number in the order in which processes were first heard; zero if it
    /// was not heard yet.
    std::uint64_t number = 0;
    /// It was told of the processes up to this number.
    std::uint64_t told_until = 0;
    /// Whom it was told of last in turn, and when.
    core::Address turn_of;
    core::Millis turn_at = 0;
  };

  auto SetHeard(const core::Address& address, Peer& peer, core::Millis at)
      -> void;
  /// Adds a note unless it is about the recipient, too old or there already.
  auto AddNote(const core::Address& address,
               const core::Address& recipient,
               core::Millis now,
               std::vector<PeerNote>& notes) const -> void;
  /// @return the live peers that claim first, refreshed now and then.
  auto FirstClaimants(core::Millis now) -> const std::vector<core::Address>&;

  core::Address self_;
  std::map<core::Address, Peer> peers_;
  /// Processes by Peer::number.
  std::map<std::uint64_t, core::Address> by_number_;
  std::uint64_t last_number_ = 0;
  core::Address probed_until_ = self_;
  std::vector<core::Address> first_claimants_;
  core::Millis first_claimants_at_ = 0;
};

}  // namespace kcm::entry
