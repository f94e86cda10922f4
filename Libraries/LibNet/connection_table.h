#pragma once

#include <cstddef>
#include <cstdint>
#include <list>

#include "LibCore/clock.h"
#include "LibNet/refusal_kind.h"
#include "LibNet/refusal_log.h"

namespace kcm::net {

/// What all connections of a process together may take.
struct ConnectionBounds {
  /// Bytes held for requests and answers.
  std::size_t bytes;
  std::size_t connections;
};

/// Derives the bounds from the machine.
/// @param memory_mb memory of the machine; zero if unknown.
/// @param max_descriptors descriptors of the process; zero if unknown.
[[nodiscard]] auto MakeConnectionBounds(std::int64_t memory_mb,
                                        std::int64_t max_descriptors)
    -> ConnectionBounds;

enum class ConnectionPhase : std::uint8_t {
  /// Was refused, and is about to be closed.
  kRefused,
  /// Does not read its answer.
  kStalled,
  /// Waits for a request or receives one.
  kReceiving,
  kAnswering,
  /// A request that was received whole has no answer yet.
  kHandling,
};

/// Closes one connection; implemented by the server.
class ClosableConnection {
 public:
  virtual ~ClosableConnection() = default;
  virtual auto Close(RefusalKind kind) -> void = 0;
};

/// The client connections of a process and what is held for them, and the
/// decision which one is closed when they take too much.
///
/// Connections that do not read their answers come first: they would otherwise
/// stay until a caller that was just accepted had to go. Then those follow that
/// have not sent a whole request, the oldest of them first, and those that
/// have, by the time of their last one. Connections to which an answer is being
/// written come after these, and one whose request is being handled is never
/// closed. Where bytes are short, only a connection that holds at least the
/// average is closed: to close others would free little.
class ConnectionTable {
 public:
  struct Entry {
    ClosableConnection* connection = nullptr;
    ConnectionPhase phase = ConnectionPhase::kReceiving;
    std::size_t bytes = 0;
    /// Whether it has sent a whole request.
    bool is_proven = false;
    /// Whether Close() was called; nothing is counted for it any more.
    bool is_closing = false;
  };
  using Handle = std::list<Entry>::iterator;

  explicit ConnectionTable(ConnectionBounds bounds) : bounds_(bounds) {}

  auto Add(ClosableConnection& connection) -> Handle;
  auto Remove(Handle entry) -> void;

  auto SetPhase(Handle entry, ConnectionPhase phase) -> void {
    entry->phase = phase;
  }

  /// Sets what is held for a connection.
  auto SetBytes(Handle entry, std::size_t bytes) -> void;

  /// Records that a connection has sent a whole request, which is handled now.
  /// What is held for it is counted with AddHandled() from now on.
  auto RecordRequest(Handle entry) -> void;

  /// Adds to and subtracts from what is held for requests that are handled.
  auto AddHandled(std::size_t bytes) -> void { handled_bytes_ += bytes; }
  auto SubtractHandled(std::size_t bytes) -> void { handled_bytes_ -= bytes; }

  /// Closes connections until the bytes are within their bound.
  /// @param added the connection whose bytes have grown; it is closed, too, if
  ///     no other can be and it holds more than an ordinary request.
  auto EnforceBytes(Handle added) -> void;

  /// Closes a connection if there are as many as allowed.
  /// @return whether another one may be opened; false if all are being handled.
  [[nodiscard]] auto MakeRoom() -> bool;

  [[nodiscard]] auto bytes() const -> std::size_t {
    return connection_bytes_ + handled_bytes_;
  }
  [[nodiscard]] auto connections() const -> std::size_t {
    return unproven_.size() + proven_.size();
  }
  [[nodiscard]] auto is_full() const -> bool {
    return connections() >= bounds_.connections;
  }
  [[nodiscard]] auto refusals() -> RefusalLog& { return refusals_; }

 private:
  /// @return the first connection to close that holds `min_bytes`, or nullptr.
  auto FindVictim(std::size_t min_bytes) -> Entry*;
  auto Close(Entry& entry, RefusalKind kind) -> void;
  auto ListOf(const Entry& entry) -> std::list<Entry>& {
    return entry.is_proven ? proven_ : unproven_;
  }

  ConnectionBounds bounds_;
  /// Without a whole request yet, the oldest first.
  std::list<Entry> unproven_;
  /// By their last whole request, the oldest first.
  std::list<Entry> proven_;
  std::size_t connection_bytes_ = 0;
  std::size_t handled_bytes_ = 0;
  RefusalLog refusals_;
};

}  // namespace kcm::net
