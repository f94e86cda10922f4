#pragma once

#include <functional>
#include <memory>
#include <string>

#include "LibEntry/holder.h"
#include "LibEntry/holder_request.h"
#include "LibEntry/peer_link.h"
#include "LibNet/event_loop.h"
#include "LibNet/http_client.h"

namespace kcm::entry {

/// Brings requests to the holder, wherever it is.
///
/// A request is repeated, because the holder takes each one once by the job's
/// id, until it is answered or its caller's patience ends.
class HolderLink {
 public:
  using Done = std::function<void(HolderAnswer)>;
  /// @return the holder of this process, or nullptr.
  using LocalHolder = std::function<std::shared_ptr<Holder>()>;

  HolderLink(net::EventLoop& loop,
             net::HttpClient& http,
             PeerLink& peers,
             LocalHolder local)
      : loop_(loop), http_(http), peers_(peers), local_(std::move(local)) {}

  /// @param deadline on the steady clock.
  /// @param relayed the request comes from another process: it is not passed
  ///     on a second time.
  auto Ask(const HolderRequest& request,
           core::Millis deadline,
           bool relayed,
           Done done) -> void;

 private:
  struct Pending {
    HolderRequest request;
    core::Millis asked_at = 0;
    core::Millis deadline = 0;
    bool relayed = false;
    /// The request may have reached a holder.
    bool in_doubt = false;
    bool is_answered = false;
    Done done;
  };

  auto Try(const std::shared_ptr<Pending>& pending) -> void;
  auto TryAgain(const std::shared_ptr<Pending>& pending) -> void;
  auto SendTo(const core::Address& address,
              const std::shared_ptr<Pending>& pending) -> void;
  static auto GiveUp(Pending& pending) -> void;
  /// Answers a request, once.
  static auto Finish(Pending& pending, const HolderAnswer& answer) -> void;

  net::EventLoop& loop_;
  net::HttpClient& http_;
  PeerLink& peers_;
  LocalHolder local_;
};

/// Header of a request that one process passes on for another.
inline constexpr const char* kRelayedHeader = "kcm-relayed";

}  // namespace kcm::entry
