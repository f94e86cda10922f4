#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "LibNet/event_loop.h"
#include "LibPlatform/keyed_store.h"

namespace kcm::entry {

/// Reads the complete state for the process that has won a term.
///
/// The store refuses the appends of earlier terms by then, so the state changes
/// during the read only if a later term begins. Failed reads are repeated for a
/// bounded time. Destroying the reader abandons the read.
class StateReader {
 public:
  /// @param rows the complete state, or nothing if it could not be read in time
  ///     or has changed.
  using Done =
      std::function<void(std::optional<std::vector<dispatch::StateRow>> rows)>;

  StateReader(net::EventLoop& loop, platform::KeyedStore& store, Done done);

  auto Start() -> void { Read(state_, ""); }

  /// @return for how long reads have failed; zero if the last one did not.
  [[nodiscard]] auto StoreOutageMs() const -> core::Millis;

 private:
  /// Held weakly by reads in flight, which may end after the reader.
  struct State {
    net::EventLoop& loop;
    platform::KeyedStore& store;
    Done done;
    std::vector<dispatch::StateRow> rows;
    std::optional<std::int64_t> end_offset;
    /// Since when reads have failed, steady clock.
    std::optional<core::Millis> failing_since;
  };

  static auto Read(const std::shared_ptr<State>& state,
                   const std::string& after) -> void;
  static auto OnPage(const std::shared_ptr<State>& state,
                     const std::string& after,
                     platform::TableReadResult read) -> void;
  static auto OnFailedRead(const std::shared_ptr<State>& state,
                           const std::string& after) -> void;

  std::shared_ptr<State> state_;
};

}  // namespace kcm::entry
