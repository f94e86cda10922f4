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

/// Learns when every live process has folded a stream up to an offset.
///
/// A process that is asked answers at once when it has, else that it lives,
/// and again as soon as it has. Nothing is sent while nobody asks.
class InForce {
 public:
  /// @param missing processes that were not seen to have the offset.
  using Done = std::function<void(const std::vector<std::string>& missing)>;

  /// @param peers bus names of all other processes of the installation.
  InForce(net::EventLoop& loop,
          net::Bus& bus,
          LogState& log,
          std::vector<std::string> peers);

  /// Asks all processes.
  /// @param offset the offset that their next record has at least.
  /// @param timeout span after which the slow ones are named; processes that
  ///     say nothing are named earlier.
  auto Await(const std::string& stream,
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
    /// Those among the missing that answered that they live.
    std::set<std::string> heard;
    Done done;
  };
  /// A question that this process could not answer yet.
  struct Asked {
    std::string by;
    std::int64_t query = 0;
    std::string stream;
    std::int64_t offset = 0;
    core::Millis until = 0;
  };

  auto OnQuery(const net::BusMessage& message) -> void;
  auto OnAnswer(const net::BusMessage& message) -> void;
  auto OnFolded(const std::string& stream) -> void;
  auto Answer(const Asked& asked, bool reached) -> void;
  auto Ask(std::int64_t id) -> void;
  auto Finish(std::int64_t id) -> void;

  net::EventLoop& loop_;
  net::Bus& bus_;
  LogState& log_;
  std::vector<std::string> peers_;
  std::int64_t next_query_ = 1;
  std::map<std::int64_t, Query> queries_;
  std::vector<Asked> asked_;
};

}  // namespace kcm::node
