#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "LibNet/bus.h"
#include "LibNet/event_loop.h"
#include "LibNode/log_state.h"

namespace kcm::node {

/// Waits until every live process has applied the records of a stream up to an
/// offset.
///
/// A queried process answers at once whether it has, and if not, again as soon
/// as it has. Without queries nothing is sent.
class OffsetBarrier {
 public:
  /// @param missing processes that did not confirm the offset.
  using Done = std::function<void(const std::vector<std::string>& missing)>;

  /// @param peers bus names of all other processes of the installation.
  OffsetBarrier(net::EventLoop& loop,
                net::Bus& bus,
                LogState& log,
                std::vector<std::string> peers);

  /// Queries all processes.
  /// @param offset least next offset that they have to reach.
  /// @param timeout time limit for slow processes; processes that do not
  ///     answer at all are reported missing earlier.
  auto AwaitOffset(const std::string& stream,
                   std::int64_t offset,
                   core::Millis timeout,
                   Done done) -> void;

 private:
  struct Query {
    std::string stream;
    std::int64_t offset = 0;
    core::Millis started_at = 0;
    core::Millis deadline = 0;
    std::set<std::string> missing;
    /// Missing processes that answered, but have not reached the offset.
    std::set<std::string> responsive;
    Done done;
  };
  /// A query for an offset that this process has not reached yet.
  struct DeferredQuery {
    std::string peer;
    std::int64_t query = 0;
    std::string stream;
    std::int64_t offset = 0;
    core::Millis expires_at = 0;
  };

  auto OnQuery(const net::BusMessage& message) -> void;
  auto OnAnswer(const net::BusMessage& message) -> void;
  auto OnFolded(const std::string& stream) -> void;
  auto SendAnswer(const DeferredQuery& deferred, bool reached) -> void;
  auto SendQueries(std::int64_t id) -> void;
  auto Finish(std::int64_t id) -> void;

  net::EventLoop& loop_;
  net::Bus& bus_;
  LogState& log_;
  std::vector<std::string> peers_;
  std::int64_t next_query_ = 1;
  std::map<std::int64_t, Query> queries_;
  std::vector<DeferredQuery> deferred_;
};

}  // namespace kcm::node
