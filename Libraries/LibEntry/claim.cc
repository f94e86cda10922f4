#include "LibEntry/claim.h"

#include <algorithm>
#include <random>
#include <utility>

#include "LibCore/event.h"
#include "LibEntry/election.h"

namespace kcm::entry {

namespace {

constexpr core::Millis kClaimReadTimeoutMs = 1000;
constexpr core::Millis kAppendTimeoutMs = 500;
constexpr core::Millis kClaimRetryMs = 50;
/// Failed appends after which the claim is abandoned: the store refuses this
/// process or is down.
constexpr int kMaxAppends = 5;
constexpr int kMaxFailedReads = 2;
/// Range of the random first sequence number. The store answers a repeated
/// number like its first use, so two claims of one epoch with the same number,
/// a chance of one in this range, would both seem to win.
constexpr std::int64_t kSequenceRange = std::int64_t{1} << 48;

auto RandomSequence() -> std::int64_t {
  std::random_device device;
  std::uniform_int_distribution<std::int64_t> numbers(1, kSequenceRange);
  return numbers(device);
}

}  // namespace

Claim::Claim(net::EventLoop& loop,
             platform::KeyedStore& store,
             TermRow self,
             std::int64_t known_epoch,
             core::Millis watch_ms,
             Done done)
    : loop_(loop),
      store_(store),
      self_(std::move(self)),
      known_epoch_(known_epoch),
      watch_ms_(watch_ms),
      sequence_(RandomSequence()),
      done_(std::move(done)) {}

auto Claim::Read() -> void {
  store_.ReadNewest(
      platform::Table::kState, kBeforeTermKey, kClaimReadTimeoutMs,
      [self = shared_from_this()](const platform::TableReadResult& read) {
        self->OnRead(read);
      });
}

auto Claim::OnRead(const platform::TableReadResult& read) -> void {
  if (!read.answered) {
    if (++failed_reads_ >= kMaxFailedReads) {
      Fail("the term could not be read", true);
      return;
    }
    watch_ms_ = std::max(watch_ms_, ElectionSettings{}.outage_watch_ms);
    Read();
    return;
  }
  end_offset_ = read.end_offset;
  previous_term_ = FindTerm(read.rows).value_or(TermRow{});
  if (previous_term_.epoch > known_epoch_) {
    Fail("the store names a newer holder");
    return;
  }
  self_.epoch = previous_term_.epoch + 1;
  self_.lease_rows_since = previous_term_.lease_rows_since > 0
                               ? previous_term_.lease_rows_since
                               : self_.epoch;
  loop_.After(watch_ms_, [self = shared_from_this()] { self->Append(); });
}

auto Claim::Append() -> void {
  if (++appends_ == 1) {
    first_append_at_ = core::SuspendAwareNow();
  }
  store_.Append({EncodeTerm(self_)}, {kWriterName, self_.epoch, sequence_},
                end_offset_, kAppendTimeoutMs,
                [self = shared_from_this()](platform::StoreAppendOutcome end) {
                  self->OnAppended(end);
                });
}

auto Claim::OnAppended(platform::StoreAppendOutcome end) -> void {
  switch (end) {
    case platform::StoreAppendOutcome::kAppended:
      done_({true,
             self_,
             previous_term_.witnesses,
             sequence_,
             first_append_at_,
             {},
             ""});
      return;
    case platform::StoreAppendOutcome::kFenced:
    case platform::StoreAppendOutcome::kOffsetMismatch:
      Fail("another process appended first");
      return;
    case platform::StoreAppendOutcome::kRefused:
    case platform::StoreAppendOutcome::kUnknown:
      break;
  }
  if (appends_ >= kMaxAppends) {
    Fail("the store did not take the claim", true);
    return;
  }
  // Retrying is safe: the store accepts one sequence number only once.
  loop_.After(kClaimRetryMs, [self = shared_from_this()] { self->Append(); });
}

auto Claim::Fail(const std::string& reason, bool store_away) -> void {
  done_({false,
         previous_term_,
         {},
         0,
         core::SuspendAwareNow(),
         {},
         reason,
         store_away});
}

}  // namespace kcm::entry
