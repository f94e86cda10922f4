#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "LibEntry/claim_order.h"
#include "LibEntry/entry_settings.h"
#include "LibEntry/holder_view.h"
#include "LibEntry/peer_heartbeat.h"
#include "LibEntry/term_row.h"
#include "LibNet/http_client.h"

namespace kcm::entry {

/// Exchanges heartbeats with the other entry processes and keeps the last known
/// state of the term holder.
///
/// A process sends heartbeats to the holder only. While the holder does not
/// answer, it sends them to all known processes.
class PeerMonitor {
 public:
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
    std::map<std::string, std::int64_t> pending;
  };

  PeerMonitor(net::HttpClient& http,
              const EntrySettings& settings,
              std::function<LocalState()> local_state);

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
  [[nodiscard]] auto has_peers() const -> bool { return !peers_.empty(); }

  /// @return this process as a candidate for the term.
  [[nodiscard]] auto SelfAsCandidate() const -> Candidate;
  /// @return the peers that are known to be alive.
  [[nodiscard]] auto LivePeers() const -> std::vector<Candidate>;

  /// @return where to send requests for the holder: the holder, or a peer with
  ///     contact to it if this process has none; nothing if there is neither.
  [[nodiscard]] auto RouteToHolder() const -> std::optional<core::Address>;

  /// @return number of jobs of a queue in phase kQueued; nothing if it is
  ///     outdated.
  [[nodiscard]] auto PendingJobs(const std::string& queue) const
      -> std::optional<std::int64_t>;

  /// Sends a heartbeat to all known processes.
  auto BroadcastHeartbeat() -> void;

 private:
  struct Peer {
    core::Millis last_contact_at = 0;
    /// Last contact with this process or, as reported by it, another one; zero
    /// if there was none.
    core::Millis heard_at = 0;
    /// When a heartbeat to it last failed; zero if none did.
    core::Millis failed_at = 0;
    bool reaches_holder = false;
    double cpu_capacity = 0;
    bool is_store_remote = false;
    bool in_flight = false;
  };

  [[nodiscard]] auto MakeHeartbeat() const -> PeerHeartbeat;
  auto SendHeartbeat(const core::Address& address) -> void;
  auto MergeHeartbeat(const PeerHeartbeat& heartbeat) -> void;
  auto MergeNote(const PeerNote& note) -> void;
  auto SetHolder(const TermRow& term, core::Millis last_contact_at) -> void;
  auto MergeHolderView(const PeerHeartbeat& heartbeat,
                       const core::Address& from) -> void;
  auto FindOrAddPeer(const std::string& address) -> Peer*;

  net::HttpClient& http_;
  core::Address self_address_;
  std::string name_;
  std::function<LocalState()> local_state_;
  std::function<void(const core::Address&)> on_newer_routes_;
  std::map<core::Address, Peer> peers_;
  HolderView holder_view_;
  core::Millis last_direct_contact_at_ = 0;
  core::Millis last_peer_contact_at_ = 0;
  std::map<std::string, std::int64_t> pending_;
  core::Millis pending_received_at_ = 0;
  /// Held weakly by requests in flight, which may outlive this object.
  std::shared_ptr<PeerMonitor*> handle_ = std::make_shared<PeerMonitor*>(this);
};

/// Paths between entry processes.
inline constexpr const char* kHeartbeatPath = "/peer/beat";
inline constexpr const char* kJobPath = "/peer/job";
inline constexpr const char* kRoutesPath = "/peer/routes";

}  // namespace kcm::entry
