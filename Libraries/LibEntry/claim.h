#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "LibCore/clock.h"
#include "LibEntry/term_row.h"
#include "LibNet/event_loop.h"
#include "LibPlatform/keyed_store.h"

namespace kcm::entry {

/// Result of a claim of the term.
struct ClaimResult {
  bool won = false;
  /// The term that was won, or else the one read from the store.
  TermRow term;
  /// Witnesses in the row of the term before; see TermRow::witnesses.
  dispatch::ClockWitnesses former_witnesses = {};
  /// Sequence number of the winning append; the next one follows it.
  std::int64_t sequence = 0;
  /// Before the winning append; the term is confirmed as of then.
  core::Millis confirmed_at = core::SuspendAwareNow();
  /// The complete state, read after the claim was won.
  std::vector<dispatch::StateRow> rows;
  std::string reason;
  /// The claim failed as the store did not answer.
  bool store_away = false;
};

/// One claim of the term: reads the newest term and appends the next one on the
/// condition that nothing was appended in between. The winner reads the state
/// afterwards, when no earlier holder can change it any more.
class Claim : public std::enable_shared_from_this<Claim> {
 public:
  using Done = std::function<void(ClaimResult)>;

  /// @param known_epoch newest term found vacant; the claim fails if the store
  ///     has a newer one, whose holder may be alive.
  /// @param watch_ms pause between the read and the append; a longer one is
  ///     made if the store did not answer at first, see
  ///     ElectionSettings::outage_watch_ms.
  Claim(net::EventLoop& loop,
        platform::KeyedStore& store,
        TermRow self,
        std::int64_t known_epoch,
        core::Millis watch_ms,
        Done done);

  auto Start() -> void { Read(); }

 private:
  auto Read() -> void;
  auto OnRead(const platform::TableReadResult& read) -> void;
  auto Append() -> void;
  auto OnAppended(platform::StoreAppendOutcome end) -> void;
  auto Fail(const std::string& reason, bool store_away = false) -> void;

  net::EventLoop& loop_;
  platform::KeyedStore& store_;
  TermRow self_;
  TermRow previous_term_;
  std::int64_t known_epoch_;
  core::Millis watch_ms_;
  std::int64_t sequence_;
  Done done_;
  std::int64_t end_offset_ = 0;
  core::Millis first_append_at_ = 0;
  int appends_ = 0;
  int failed_reads_ = 0;
};

/// Writer name in the store, to which epochs and sequence numbers belong.
inline constexpr const char* kWriterName = "kcm";

}  // namespace kcm::entry
