#pragma once

#include <nng/nng.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "LibCore/address.h"
#include "LibCore/json.h"
#include "LibCore/reason.h"
#include "LibNet/event_loop.h"

namespace kcm::net {

/// A message between two processes.
struct BusMessage {
  /// The sender's process name, for example "entry-1/relay".
  std::string from;
  /// The type of the body, for example "log_records".
  std::string type;
  core::Json body;
};

/// Message counts of one bus.
struct BusCounters {
  std::uint64_t sent = 0;
  std::uint64_t dropped = 0;
  std::uint64_t received = 0;
  std::uint64_t bytes_sent = 0;
  std::uint64_t bytes_received = 0;
};

/// Exchanges one-way messages with the other processes over nng.
///
/// Each process listens on one PULL socket and dials one PUSH socket per
/// peer. Delivery is not guaranteed: a message is dropped and counted when
/// the peer's buffer is full. Protocols above repeat their messages.
class Bus {
 public:
  using Handler = std::function<void(const BusMessage&)>;

  /// Opens a bus that listens on `address`.
  /// @param self the name that peers see in `BusMessage::from`.
  /// @return the bus, or nothing with `reason` naming the address.
  [[nodiscard]] static auto create(EventLoop& loop,
                                   std::string self,
                                   const core::Address& address,
                                   core::Reason& reason)
      -> std::unique_ptr<Bus>;

  ~Bus();
  Bus(const Bus&) = delete;
  auto operator=(const Bus&) -> Bus& = delete;

  /// Sets the handler for messages of a type.
  auto OnMessage(const std::string& type, Handler handler) -> void;

  /// Adds a peer; nng connects and reconnects in the background.
  auto AddPeer(const std::string& peer, const core::Address& address) -> void;

  /// Sends a message, or drops it when the peer is unknown or too slow.
  auto Send(const std::string& peer,
            const std::string& type,
            const core::Json& body) -> void;

  [[nodiscard]] auto self() const -> const std::string& { return self_; }
  [[nodiscard]] auto counters() const -> const BusCounters& {
    return counters_;
  }

 private:
  Bus(std::string self, nng_socket inbox)
      : self_(std::move(self)), inbox_(inbox) {}

  auto ReceiveMessages() -> void;
  auto HandleMessage(const nng_msg* message) -> void;

  std::string self_;
  nng_socket inbox_;
  std::map<std::string, nng_socket> peers_;
  std::map<std::string, Handler> handlers_;
  BusCounters counters_;
};

}  // namespace kcm::net
