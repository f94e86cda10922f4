#include "LibNet/connection_table.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <memory>
#include <optional>
#include <vector>

namespace kcm::net {
namespace {

/// A connection that only notes that it was closed.
class FakeConnection : public ClosableConnection {
 public:
  explicit FakeConnection(ConnectionTable& table)
      : table_(table), entry_(table.Add(*this)) {}
  ~FakeConnection() override { table_.Remove(entry_); }
  FakeConnection(const FakeConnection&) = delete;
  auto operator=(const FakeConnection&) -> FakeConnection& = delete;

  auto Close(RefusalKind kind) -> void override { closed_for_ = kind; }

  auto Hold(std::size_t bytes) -> void {
    table_.SetBytes(entry_, bytes);
    table_.EnforceBytes(entry_);
  }
  auto SendRequest() -> void { table_.RecordRequest(entry_); }
  auto SetPhase(ConnectionPhase phase) -> void {
    table_.SetPhase(entry_, phase);
  }
  /// Sends a request and gets its answer.
  auto Call() -> void {
    SendRequest();
    SetPhase(ConnectionPhase::kReceiving);
  }

  [[nodiscard]] auto is_closed() const -> bool {
    return closed_for_.has_value();
  }
  [[nodiscard]] auto closed_for() const -> std::optional<RefusalKind> {
    return closed_for_;
  }

 private:
  ConnectionTable& table_;
  ConnectionTable::Handle entry_;
  std::optional<RefusalKind> closed_for_;
};

constexpr std::size_t kMaxBytes = 1000000;
constexpr ConnectionBounds kBounds = {kMaxBytes, 4};

// Guards against a crowd that fills the process: whoever has sent no request
// for the longest time makes room first, and not a caller that was served.
TEST(ConnectionTable, ClosesTheOldestWithoutARequestFirst) {
  ConnectionTable table(kBounds);
  FakeConnection caller(table);
  caller.Call();
  FakeConnection oldest(table);
  FakeConnection newer(table);
  FakeConnection late_caller(table);
  late_caller.Call();
  EXPECT_TRUE(table.MakeRoom());
  EXPECT_EQ(oldest.closed_for(), RefusalKind::kConnections);
  EXPECT_TRUE(table.MakeRoom());
  EXPECT_TRUE(newer.is_closed());
  EXPECT_TRUE(table.MakeRoom());
  EXPECT_TRUE(caller.is_closed());
  EXPECT_FALSE(late_caller.is_closed());
}

// Guards against an idle caller that is closed although it called last.
TEST(ConnectionTable, CountsTheTimeSinceTheLastRequest) {
  ConnectionTable table({kMaxBytes, 2});
  FakeConnection first(table);
  FakeConnection second(table);
  first.Call();
  second.Call();
  first.Call();
  EXPECT_TRUE(table.MakeRoom());
  EXPECT_TRUE(second.is_closed());
  EXPECT_FALSE(first.is_closed());
}

// Guards against a request that has run and whose answer is lost.
TEST(ConnectionTable, ClosesNoneWhoseRequestIsHandled) {
  ConnectionTable table({kMaxBytes, 2});
  FakeConnection handled(table);
  handled.SendRequest();
  FakeConnection answered(table);
  answered.SendRequest();
  answered.SetPhase(ConnectionPhase::kAnswering);
  EXPECT_TRUE(table.MakeRoom());
  EXPECT_TRUE(answered.is_closed());
  EXPECT_FALSE(table.MakeRoom());
  EXPECT_FALSE(handled.is_closed());
}

// Guards against callers that are closed as soon as they are accepted, because
// all other connections wait for clients that do not read.
TEST(ConnectionTable, ClosesWhoDoesNotReadBeforeWhoHasJustConnected) {
  ConnectionTable table({kMaxBytes, 3});
  FakeConnection reading(table);
  reading.SendRequest();
  reading.SetPhase(ConnectionPhase::kAnswering);
  FakeConnection stalled(table);
  stalled.SendRequest();
  stalled.SetPhase(ConnectionPhase::kStalled);
  FakeConnection caller(table);
  EXPECT_TRUE(table.MakeRoom());
  EXPECT_TRUE(stalled.is_closed());
  EXPECT_FALSE(caller.is_closed());
  EXPECT_FALSE(reading.is_closed());
}

TEST(ConnectionTable, ClosesNoneWhileThereIsRoom) {
  ConnectionTable table(kBounds);
  FakeConnection first(table);
  FakeConnection second(table);
  EXPECT_TRUE(table.MakeRoom());
  first.Hold(kMaxBytes / 2);
  second.Hold(kMaxBytes / 2);
  EXPECT_FALSE(first.is_closed());
  EXPECT_FALSE(second.is_closed());
}

// Guards against the end of many small connections, which frees nothing, for
// the sake of one that holds much.
TEST(ConnectionTable, ClosesForBytesOnlyWhoHoldsThem) {
  ConnectionTable table({kMaxBytes, 100});
  FakeConnection small(table);
  small.Hold(1000);
  FakeConnection large(table);
  large.Hold(kMaxBytes - 2000);
  FakeConnection growing(table);
  growing.Hold(10000);
  EXPECT_EQ(large.closed_for(), RefusalKind::kMemory);
  EXPECT_FALSE(small.is_closed());
  EXPECT_FALSE(growing.is_closed());
  EXPECT_LE(table.bytes(), kMaxBytes);
}

// Guards against ordinary callers that are refused while requests in hand use
// up the bytes, and against requests beyond that without bound.
TEST(ConnectionTable, TakesOrdinaryRequestsWhileOthersAreHandled) {
  ConnectionTable table({kMaxBytes, 100});
  table.AddHandled(kMaxBytes);
  FakeConnection ordinary(table);
  ordinary.Hold(5000);
  EXPECT_TRUE(ordinary.is_closed()) << "alone it holds the average";
  FakeConnection other(table);
  FakeConnection handled(table);
  handled.SendRequest();
  handled.Hold(100000);
  other.Hold(5000);
  EXPECT_FALSE(other.is_closed());
  other.Hold(200000);
  EXPECT_TRUE(other.is_closed());
  table.SubtractHandled(kMaxBytes);
}

// Whatever connections do, what those hold that can be closed stays within the
// bound, and only one that is handled is never closed.
RC_GTEST_PROP(ConnectionTable, KeepsItsBounds, ()) {
  ConnectionTable table({kMaxBytes, 8});
  std::vector<std::unique_ptr<FakeConnection>> open;
  const auto steps = *rc::gen::inRange(1, 200);
  for (int step = 0; step < steps; ++step) {
    const auto index =
        open.empty() ? 0 : *rc::gen::inRange<std::size_t>(0, open.size());
    switch (*rc::gen::inRange(0, 4)) {
      case 0:
        if (table.MakeRoom()) {
          std::erase_if(open, [](const auto& row) { return row->is_closed(); });
          open.push_back(std::make_unique<FakeConnection>(table));
        }
        break;
      case 1:
        if (!open.empty()) {
          open[index]->Hold(*rc::gen::inRange<std::size_t>(0, kMaxBytes));
        }
        break;
      case 2:
        if (!open.empty() && !open[index]->is_closed()) {
          open[index]->Call();
        }
        break;
      default:
        if (!open.empty()) {
          open.erase(open.begin() + static_cast<std::ptrdiff_t>(index));
        }
        break;
    }
    RC_ASSERT(table.bytes() <= kMaxBytes);
    RC_ASSERT(table.connections() <= 8U);
  }
  open.clear();
  RC_ASSERT(table.bytes() == 0U);
  RC_ASSERT(table.connections() == 0U);
}

TEST(ConnectionTable, DerivesItsBoundsFromTheMachine) {
  const auto bounds = MakeConnectionBounds(120, 3075);
  EXPECT_EQ(bounds.bytes, std::size_t{30} * 1024 * 1024);
  EXPECT_EQ(bounds.connections, 768U);
  EXPECT_GT(MakeConnectionBounds(0, 0).bytes, bounds.bytes);
}

}  // namespace
}  // namespace kcm::net
