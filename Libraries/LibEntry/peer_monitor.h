#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "LibEntry/claim_order.h"
#include "LibEntry/entry_settings.h"
#include "LibEntry/heartbeat_port.h"
#include "LibEntry/holder_view.h"
#include "LibEntry/peer_directory.h"
#include "LibEntry/peer_heartbeat.h"
#include "LibEntry/term_row.h"

namespace kcm::entry {

/// Exchanges heartbeats with the other entry processes and keeps the last known
/// state of the term holder.
///
/// A process sends heartbeats to the holder only, whose answers tell it of the
/// others. While the holder does not answer, it also probes a few of these each
/// time. A holder announces itself to all that it knows.
class PeerMonitor {
 public:
  using Clock = std::function<core::Millis()>;

  /// State of this process at the time of a heartbeat.
  struct LocalState {
    bool is_holder = false;
    /// This process holds the term but is still reading the state.
    bool is_recovering = false;
    bool resigned = false;
    core::Millis store_outage_ms = 0;
    std::int64_t routes_version = 0;
    /// In cores; zero if this process cannot hold the term now.
    double cpu_capacity = 0;
    bool is_store_remote = false;
    bool is_draining = false;
    std::map<std::string, std::int64_t> pending;
  };

  /// @param clock steady clock that counts the time of a suspended VM.
  PeerMonitor(HeartbeatPort& port,
              const EntrySettings& settings,
              std::function<LocalState()> local_state,
              Clock clock = core::SuspendAwareNow);

  auto SetSettings(const EntrySettings& settings) -> void;

  /// @param handler called with the address of a peer with newer routes.
  auto OnNewerRoutes(std::function<void(const core::Address&)> handler)
      -> void {
    on_newer_routes_ = std::move(handler);
  }

  /// Sends the heartbeats that are due and removes peers without contact.
  auto SendDueHeartbeats() -> void;

  /// Handles a heartbeat of another process.
  /// @return the heartbeat to answer with.
  [[nodiscard]] auto HandleHeartbeat(const PeerHeartbeat& heartbeat)
      -> PeerHeartbeat;

  /// This process has won the term and reads the state.
  auto OnTermWon(const TermRow& term) -> void;
  /// This process has read the state and takes requests.
  auto OnStateRead() -> void { holder_view_.recovering_since.reset(); }
  /// Applies the term that was read from the store. If it is newer, its holder
  /// is sent a heartbeat at once and counts as lost unless it answers within
  /// 450 ms, one and a half heartbeats.
  auto OnTermStored(const TermRow& term) -> void;
  /// This process has lost or resigned a term.
  auto OnTermEnded(std::int64_t epoch) -> void;

  [[nodiscard]] auto holder_view() const -> const HolderView& {
    return holder_view_;
  }
  [[nodiscard]] auto last_peer_contact_at() const -> core::Millis {
    return last_peer_contact_at_;
  }
  [[nodiscard]] auto has_peers() const -> bool { return directory_.size() > 0; }
  [[nodiscard]] auto directory() const -> const PeerDirectory& {
    return directory_;
  }

  /// @return this process as a candidate for the term.
  [[nodiscard]] auto SelfAsCandidate() const -> Candidate;
  /// @return the peers that are known to be alive.
  [[nodiscard]] auto LivePeers() const -> std::vector<Candidate> {
    return directory_.LivePeers(clock_());
  }

  /// @return whether a peer that is known to be alive could take the term and
  ///     is not about to exit.
  [[nodiscard]] auto HasSuccessor() const -> bool;

  /// @return where to send requests for the holder: the holder, or a peer with
  ///     contact to it if this process has none; nothing if there is neither.
  [[nodiscard]] auto RouteToHolder() const -> std::optional<core::Address>;

  /// @return number of jobs of a queue in phase kQueued; nothing if it is
  ///     outdated.
  [[nodiscard]] auto PendingJobs(const std::string& queue) const
      -> std::optional<std::int64_t>;

  /// Sends a heartbeat to all known processes. Those that have not answered the
  /// one before get it after their answer, as that one no longer holds.
  auto BroadcastHeartbeat() -> void;

 private:
  [[nodiscard]] auto MakeHeartbeat(const LocalState& local_state) const
      -> PeerHeartbeat;
  auto SendHeartbeat(const core::Address& address) -> void;
  /// Sends a heartbeat to some processes, in turn.
  auto ProbePeers() -> void;
  auto MergeHeartbeat(const PeerHeartbeat& heartbeat,
                      const LocalState& local_state) -> void;
  auto SetHolder(const TermRow& term, core::Millis last_contact_at) -> void;
  auto MergeHolderView(const PeerHeartbeat& heartbeat,
                       const core::Address& from,
                       bool is_local_holder) -> void;

  HeartbeatPort& port_;
  Clock clock_;
  core::Address self_address_;
  std::string name_;
  std::function<LocalState()> local_state_;
  std::function<void(const core::Address&)> on_newer_routes_;
  PeerDirectory directory_;
  /// Processes to which a heartbeat is in flight, and those of them that get
  /// another one afterwards.
  std::set<core::Address> in_flight_;
  std::set<core::Address> send_again_;
  HolderView holder_view_;
  core::Millis last_direct_contact_at_ = 0;
  core::Millis last_peer_contact_at_ = 0;
  std::map<std::string, std::int64_t> pending_;
  core::Millis pending_received_at_ = 0;
  /// Held weakly by requests in flight, which may outlive this object.
  std::shared_ptr<PeerMonitor*> handle_ = std::make_shared<PeerMonitor*>(this);
};

/// Further paths between entry processes.
inline constexpr const char* kJobPath = "/peer/job";
inline constexpr const char* kRoutesPath = "/peer/routes";

}  // namespace kcm::entry
