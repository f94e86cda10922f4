#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "LibEntry/beat.h"
#include "LibEntry/entry_settings.h"
#include "LibEntry/holder_belief.h"
#include "LibEntry/term_row.h"
#include "LibNet/http_client.h"

namespace kcm::entry {

/// Exchanges beats with the other entry processes and keeps what this process
/// believes of the holder.
///
/// A process asks the holder; while it does not hear the holder, it asks all
/// processes it knows.
class PeerLink {
 public:
  /// What this process is while it writes a beat.
  struct Self {
    bool is_holder = false;
    bool resigned = false;
    core::Millis storeless_ms = 0;
    std::int64_t routes_version = 0;
    std::map<std::string, std::int64_t> pending;
  };

  PeerLink(net::HttpClient& http,
           const EntrySettings& settings,
           std::function<Self()> self);

  auto SetSettings(const EntrySettings& settings) -> void;

  /// Called with the address of a process that has newer routes.
  auto OnNewerRoutes(std::function<void(const core::Address&)> handler)
      -> void {
    on_newer_routes_ = std::move(handler);
  }

  /// Sends the beats that are due.
  auto Tick() -> void;

  /// Takes a beat of another process.
  /// @return the beat to answer with.
  [[nodiscard]] auto OnBeat(const Beat& beat) -> Beat;

  /// This process has won the term.
  auto OnTermWon(const TermRow& term) -> void;
  /// The store names the holder. One that was not known is asked at once, and
  /// gets a moment to be heard.
  auto OnTermStored(const TermRow& term) -> void;
  /// This process has lost or resigned a term.
  auto OnTermEnded(std::int64_t epoch) -> void;

  [[nodiscard]] auto belief() const -> const HolderBelief& { return belief_; }
  [[nodiscard]] auto peer_heard_at() const -> core::Millis {
    return peer_heard_at_;
  }
  [[nodiscard]] auto has_peers() const -> bool { return !peers_.empty(); }

  /// @return where to send what is meant for the holder: the holder, or a
  ///     process that hears it when this one does not; nothing when it is lost.
  [[nodiscard]] auto HolderRoute() const -> std::optional<core::Address>;

  /// @return unstarted jobs of a queue, unless what is known is too old.
  [[nodiscard]] auto PendingOf(const std::string& queue) const
      -> std::optional<std::int64_t>;

  /// Tells all processes that this one's state has changed.
  auto BeatAll() -> void;

 private:
  struct Peer {
    core::Millis heard_at = 0;
    bool hears_holder = false;
    bool in_flight = false;
  };

  [[nodiscard]] auto MakeBeat() const -> Beat;
  auto Send(const core::Address& address) -> void;
  auto Merge(const Beat& beat) -> void;
  auto Believe(const TermRow& term, core::Millis heard_at) -> void;
  auto MergeHolder(const Beat& beat, const core::Address& from) -> void;
  auto Learn(const std::string& address) -> Peer*;

  net::HttpClient& http_;
  core::Address self_address_;
  std::string name_;
  std::function<Self()> self_;
  std::function<void(const core::Address&)> on_newer_routes_;
  std::map<core::Address, Peer> peers_;
  HolderBelief belief_;
  core::Millis direct_heard_at_ = 0;
  core::Millis peer_heard_at_ = 0;
  std::map<std::string, std::int64_t> pending_;
  core::Millis pending_at_ = 0;
  /// Answers under way outlive this object by their weak handle.
  std::shared_ptr<PeerLink*> handle_ = std::make_shared<PeerLink*>(this);
};

/// Paths between entry processes.
inline constexpr const char* kBeatPath = "/peer/beat";
inline constexpr const char* kJobPath = "/peer/job";
inline constexpr const char* kRoutesPath = "/peer/routes";

}  // namespace kcm::entry
