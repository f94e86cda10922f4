#include "LibEntry/claim.h"

#include <gtest/gtest.h>

#include <memory>

#include "LibCore/json.h"
#include "fake_store.h"

namespace kcm::entry {
namespace {

auto StartClaim(net::EventLoop& loop,
                FakeStore& store,
                const std::string& name,
                std::vector<ClaimResult>& results,
                std::size_t expected,
                std::int64_t known_epoch = 0) -> void {
  const auto claim = std::make_shared<Claim>(
      loop, store, TermRow{0, name, {"10.0.0.1", 1}}, known_epoch, 0,
      [&loop, &results, expected](ClaimResult result) {
        results.push_back(std::move(result));
        if (results.size() == expected) {
          loop.Stop();
        }
      });
  claim->Start();
}

// Two processes held term 1 at once: both had appended with the same sequence
// number, and the store answered the second append like the first.
TEST(Claim, OnlyOneOfTwoConcurrentClaimsWins) {
  net::EventLoop loop;
  FakeStore store(loop);
  std::vector<ClaimResult> results;
  StartClaim(loop, store, "a", results, 2);
  StartClaim(loop, store, "b", results, 2);
  loop.Run();
  ASSERT_EQ(results.size(), 2U);
  EXPECT_NE(results[0].won, results[1].won);
}

TEST(Claim, WinsByRetryAfterALostStoreAnswer) {
  net::EventLoop loop;
  FakeStore store(loop);
  store.lose_answers = 1;
  std::vector<ClaimResult> results;
  StartClaim(loop, store, "a", results, 1);
  loop.Run();
  EXPECT_TRUE(results[0].won);
  EXPECT_EQ(results[0].term.epoch, 1);
  EXPECT_EQ(store.appends, 2);
}

TEST(Claim, FailsWhenTheStoreRefusesAppends) {
  net::EventLoop loop;
  FakeStore store(loop);
  store.refuse = true;
  std::vector<ClaimResult> results;
  StartClaim(loop, store, "a", results, 1);
  loop.Run();
  EXPECT_FALSE(results[0].won);
}

TEST(Claim, IncrementsTheStoredEpoch) {
  net::EventLoop loop;
  FakeStore store(loop);
  std::vector<ClaimResult> results;
  StartClaim(loop, store, "a", results, 1);
  loop.Run();
  results.clear();
  StartClaim(loop, store, "b", results, 1, 1);
  loop.Run();
  ASSERT_TRUE(results[0].won);
  EXPECT_EQ(results[0].term.epoch, 2);
  EXPECT_EQ(FindTerm({{kTermKey, store.state.at(kTermKey)}})->name, "b");
}

// A holder that does not know lease rows grants leases in spite of them: rows
// written before its term must not bound leases afterwards.
TEST(Claim, HonoursLeaseRowsSinceTheLastHolderThatDidNot) {
  net::EventLoop loop;
  FakeStore store(loop);
  std::vector<ClaimResult> results;
  for (const auto* name : {"a", "b"}) {
    results.clear();
    StartClaim(loop, store, name, results, 1, 1);
    loop.Run();
    ASSERT_TRUE(results[0].won);
    EXPECT_EQ(results[0].term.lease_rows_since, 1);
  }
  // A term's row of four members is that of an older version.
  auto old_term = core::Json::from_msgpack(store.state.at(kTermKey));
  old_term.erase(4);
  const auto bytes = core::Json::to_msgpack(old_term);
  store.state[kTermKey] = {bytes.begin(), bytes.end()};
  for (const auto* name : {"c", "d"}) {
    results.clear();
    StartClaim(loop, store, name, results, 1, 3);
    loop.Run();
    ASSERT_TRUE(results[0].won);
    EXPECT_EQ(results[0].term.lease_rows_since, 3);
  }
}

// Each claim read the whole state before its append. With a large state and
// other claims or the last appends of the holder in between, 81 claims failed.
TEST(Claim, ReadsOnlyTheTermBeforeItsAppend) {
  net::EventLoop loop;
  FakeStore store(loop);
  for (int index = 0; index < 1200; ++index) {
    store.state["t/" + std::to_string(index)] = "row";
  }
  store.state[kTermKey] = EncodeTerm({4, "a", {"10.0.0.1", 1}}).value;
  std::vector<ClaimResult> results;
  StartClaim(loop, store, "b", results, 1, 4);
  loop.Run();
  EXPECT_TRUE(results[0].won);
  EXPECT_EQ(results[0].term.epoch, 5);
  EXPECT_EQ(store.rows_read, 1U);
}

// The term changed 88 times without any fault: a process that had no heartbeat
// of the first holder yet read its row in the store and claimed the next term.
TEST(Claim, FailsWhenTheStoreHasAnUnknownTerm) {
  net::EventLoop loop;
  FakeStore store(loop);
  std::vector<ClaimResult> results;
  StartClaim(loop, store, "a", results, 1);
  loop.Run();
  results.clear();
  StartClaim(loop, store, "b", results, 1);
  loop.Run();
  EXPECT_FALSE(results[0].won);
  EXPECT_EQ(results[0].term.name, "a");
}

}  // namespace
}  // namespace kcm::entry
