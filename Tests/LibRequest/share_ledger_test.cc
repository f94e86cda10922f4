#include "LibRequest/share_ledger.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <memory>
#include <numeric>

namespace kcm::request {
namespace {

constexpr std::int64_t kSlots = 8;
constexpr core::Millis kLease = 1000;
constexpr core::Millis kMargin = 50;
const std::string kResource = "slot/minion-1";

/// A unit in use at a minion.
struct Use {
  std::size_t gateway;
  AcquiredUnit unit;
  core::Millis until;
};

/// Gateways with different clocks; messages may be lost, delayed or reordered.
class Gateways {
 public:
  explicit Gateways(std::size_t count) {
    for (std::size_t i = 0; i < count; ++i) {
      names_.push_back("entry-" + std::to_string(i));
    }
    for (std::size_t i = 0; i < count; ++i) {
      ledgers_.push_back(nullptr);
      Restart(i);
    }
  }

  auto Restart(std::size_t i) -> void {
    // Requests that the earlier incarnation sent may still run; the minion
    // fences them, and the ledger does not cover them.
    std::erase_if(uses_, [i](const Use& use) { return use.gateway == i; });
    LedgerSettings settings{names_[i], names_, ++incarnation_, kLease, kMargin};
    ledgers_[i] = std::make_unique<ShareLedger>(settings, ClockOf(i));
    ledgers_[i]->SetTotal(kResource, kSlots);
  }

  auto Acquire(std::size_t i, core::Millis span) -> void {
    const auto until = ClockOf(i) + span;
    if (auto unit = ledgers_[i]->Acquire(kResource, ClockOf(i), until)) {
      uses_.push_back({i, *unit, until});
    }
    ledgers_[i]->RequestUnits(kResource, kSlots, ClockOf(i));
  }

  auto Release(std::size_t pick) -> void {
    if (!uses_.empty()) {
      const auto use = uses_[pick % uses_.size()];
      ledgers_[use.gateway]->Release(use.unit, ClockOf(use.gateway), 0);
      uses_.erase(uses_.begin() +
                  static_cast<std::ptrdiff_t>(pick % uses_.size()));
    }
  }

  auto AdvanceTimers(std::size_t i) -> void {
    Enqueue(i, ledgers_[i]->AdvanceTimers(ClockOf(i)));
  }

  auto Deliver(std::size_t pick, bool drop) -> void {
    if (in_transit_.empty()) {
      return;
    }
    const auto index = pick % in_transit_.size();
    const auto [from, send] = in_transit_[index];
    in_transit_.erase(in_transit_.begin() + static_cast<std::ptrdiff_t>(index));
    if (drop) {
      return;
    }
    const auto to = static_cast<std::size_t>(
        std::find(names_.begin(), names_.end(), send.peer) - names_.begin());
    Enqueue(to, ledgers_[to]->HandleMessage(names_[from], send.message,
                                            ClockOf(to)));
  }

  auto AdvanceClock(core::Millis span) -> void {
    now_ += span;
    // Each use ends by the limit that it was acquired with.
    for (std::size_t i = uses_.size(); i-- > 0;) {
      if (uses_[i].until <= ClockOf(uses_[i].gateway)) {
        Release(i);
      }
    }
  }

  auto RunFor(core::Millis span) -> void {
    for (core::Millis elapsed = 0; elapsed < span; elapsed += 50) {
      for (std::size_t i = 0; i < names_.size(); ++i) {
        AdvanceTimers(i);
      }
      while (!in_transit_.empty()) {
        Deliver(0, false);
      }
      AdvanceClock(50);
    }
  }

  [[nodiscard]] auto in_use() const -> std::int64_t {
    return std::ssize(uses_);
  }
  [[nodiscard]] auto ledger(std::size_t i) -> ShareLedger& {
    return *ledgers_[i];
  }
  [[nodiscard]] auto ClockOf(std::size_t i) const -> core::Millis {
    return now_ + static_cast<core::Millis>(i) * 100000;
  }

 private:
  auto Enqueue(std::size_t from,
               const std::vector<OutgoingLedgerMessage>& sends) -> void {
    for (const auto& send : sends) {
      in_transit_.emplace_back(from, send);
    }
  }

  core::Millis now_ = 0;
  std::int64_t incarnation_ = 0;
  std::vector<std::string> names_;
  std::vector<std::unique_ptr<ShareLedger>> ledgers_;
  std::vector<std::pair<std::size_t, OutgoingLedgerMessage>> in_transit_;
  std::vector<Use> uses_;
};

/// Draws uniformly from [0, end), regardless of RapidCheck's size parameter.
auto Draw(std::size_t end) -> std::size_t {
  return *rc::gen::resize(rc::kNominalSize,
                          rc::gen::inRange<std::size_t>(0, end));
}

RC_GTEST_PROP(ShareLedger, UnitsInUseNeverExceedTheTotal, ()) {
  const auto count = 2 + Draw(3);
  Gateways gateways(count);
  if (Draw(4) > 0) {
    gateways.RunFor(200);
  }
  const auto steps = 200 + Draw(600);
  for (std::size_t step = 0; step < steps; ++step) {
    const auto gateway = Draw(count);
    const auto pick = Draw(1000);
    // The first gateway has a much higher load than the others.
    switch (*rc::gen::weightedElement<int>(
        {{8, 0}, {1, 1}, {5, 2}, {8, 3}, {1, 4}, {3, 5}, {1, 6}})) {
      case 0:
        gateways.Acquire(pick % 3 == 0 ? gateway : 0,
                         static_cast<core::Millis>(Draw(kLease)));
        break;
      case 1:
        gateways.Release(pick);
        break;
      case 2:
        gateways.AdvanceTimers(gateway);
        break;
      case 3:
        gateways.Deliver(pick, false);
        break;
      case 4:
        gateways.Deliver(pick, true);
        break;
      case 5:
        gateways.AdvanceClock(static_cast<core::Millis>(pick / 4));
        break;
      default:
        gateways.Restart(pick % 10 == 0 ? 0 : gateway);
        break;
    }
    RC_ASSERT(gateways.in_use() <= kSlots);
  }
}

class BorrowingGateway : public testing::TestWithParam<std::size_t> {};

TEST_P(BorrowingGateway, BorrowsAllSlotsWhileTheOthersAreIdle) {
  Gateways gateways(GetParam());
  gateways.RunFor(200);
  for (int i = 0; i < 40; ++i) {
    gateways.Acquire(0, 600);
    gateways.RunFor(50);
    if (gateways.in_use() == kSlots) {
      break;
    }
  }
  EXPECT_EQ(gateways.in_use(), kSlots);
}

TEST_P(BorrowingGateway, ReturnsUnitsThatTheirOwnerRequests) {
  Gateways gateways(GetParam());
  gateways.RunFor(200);
  for (int i = 0; i < 20; ++i) {
    gateways.Acquire(0, 300);
    gateways.RunFor(50);
  }
  gateways.ledger(1).RequestUnits(kResource, kSlots, gateways.ClockOf(1));
  gateways.RunFor(400);
  EXPECT_GE(gateways.ledger(1).Held(kResource, gateways.ClockOf(1)), 1);
}

INSTANTIATE_TEST_SUITE_P(Counts, BorrowingGateway, testing::Values(2, 3, 6, 9));

TEST(ShareLedger, KeepsOwnUnitsUnusedWhileOldLoansMayBeInUse) {
  Gateways gateways(3);
  EXPECT_FALSE(gateways.ledger(0).MayUseOwnUnits(gateways.ClockOf(0)));
  EXPECT_TRUE(gateways.ledger(0).MayUseOwnUnits(gateways.ClockOf(0) + kLease +
                                                kMargin));
  gateways.RunFor(100);
  EXPECT_TRUE(gateways.ledger(0).MayUseOwnUnits(gateways.ClockOf(0)));
}

}  // namespace
}  // namespace kcm::request
