#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "LibEntry/holder_request.h"
#include "LibEntry/peer_monitor.h"
#include "LibEntry/term_holder.h"
#include "LibNet/event_loop.h"
#include "LibNet/http_client.h"
#include "LibNet/timer.h"

namespace kcm::entry {

/// Sends requests to the term holder, in this process or another one.
///
/// A request is retried until it is answered or its deadline passes; the holder
/// deduplicates by job id.
class HolderClient {
 public:
  using Done = std::function<void(HolderAnswer)>;
  /// @return the term holder in this process, or nullptr.
  using LocalHolder = std::function<std::shared_ptr<TermHolder>()>;
  /// @return whether the store answers this process, so that another one can
  ///     take the term.
  using StoreAnswers = std::function<bool()>;

  static constexpr std::size_t kUsualOpenBytes = std::size_t{64} * 1024 * 1024;

  /// @param max_open_bytes memory for open requests. Beyond it a submission is
  ///     refused unless it is the only one.
  HolderClient(net::EventLoop& loop,
               net::HttpClient& http,
               PeerMonitor& peers,
               LocalHolder local_holder,
               StoreAnswers store_answers,
               std::size_t max_open_bytes = kUsualOpenBytes)
      : loop_(loop),
        http_(http),
        peers_(peers),
        local_holder_(std::move(local_holder)),
        store_answers_(std::move(store_answers)),
        max_open_bytes_(max_open_bytes),
        expiry_(loop, [this] { FailExpired(); }) {}

  /// @param deadline on the steady clock.
  /// @param relayed the request was relayed by another process and is not
  ///     relayed again.
  auto SendRequest(const HolderRequest& request,
                   core::Millis deadline,
                   bool relayed,
                   Done done) -> void;

  /// Answers all open requests, and later ones at once, as this process exits:
  /// one that may have reached a holder as in doubt, any other as not taken.
  auto Close() -> void;

 private:
  struct PendingRequest {
    HolderRequest request;
    core::Millis deadline = 0;
    bool relayed = false;
    /// Since when no process is known to take the request.
    std::optional<core::Millis> vacant_since = std::nullopt;
    /// The request may have reached a holder.
    bool outcome_unknown = false;
    bool is_answered = false;
    /// Memory that it takes.
    std::size_t bytes = 0;
    Done done;
  };

  /// Tries again soon, or refuses the request if it has waited for a holder for
  /// long enough.
  auto AwaitHolder(const std::shared_ptr<PendingRequest>& pending) -> void;
  auto SendAttempt(const std::shared_ptr<PendingRequest>& pending) -> void;
  auto ScheduleRetry(const std::shared_ptr<PendingRequest>& pending) -> void;
  auto SendTo(const core::Address& address,
              const std::shared_ptr<PendingRequest>& pending) -> void;
  auto FailRequest(const std::shared_ptr<PendingRequest>& pending) -> void;
  /// Fails the requests whose deadline has passed.
  auto FailExpired() -> void;
  /// Answers the request unless it is answered already.
  auto Finish(const std::shared_ptr<PendingRequest>& pending,
              const HolderAnswer& answer) -> void;

  net::EventLoop& loop_;
  net::HttpClient& http_;
  PeerMonitor& peers_;
  LocalHolder local_holder_;
  StoreAnswers store_answers_;
  /// By deadline.
  std::set<std::pair<core::Millis, std::shared_ptr<PendingRequest>>> open_;
  std::size_t max_open_bytes_;
  std::size_t open_bytes_ = 0;
  /// Runs at the first deadline, or before.
  net::Timer expiry_;
  bool closed_ = false;
};

/// Header of a relayed request: whether the receiver is the holder or a relay.
inline constexpr const char* kRelayedHeader = "kcm-relayed";

}  // namespace kcm::entry
