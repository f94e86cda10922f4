#include "LibNet/refusal_log.h"

#include <gtest/gtest.h>

namespace kcm::net {
namespace {

// Guards against a log that clients can fill: each refusal would be a line.
TEST(RefusalLog, HasOneLinePerSecondAndKind) {
  RefusalLog log;
  constexpr core::Millis kSteps = 10000;
  int lines = 0;
  std::int64_t told = 0;
  for (core::Millis now = 0; now <= kSteps; now += 10) {
    log.Record(RefusalKind::kHeadTooLong, "a");
    log.Record(RefusalKind::kIdle, "b");
    for (const auto& line : log.TakeDue(now)) {
      ++lines;
      told += line.count;
      EXPECT_EQ(line.peer, line.kind == RefusalKind::kIdle ? "b" : "a");
    }
  }
  EXPECT_EQ(lines, 2 * 11);
  EXPECT_EQ(told, 2 * 1001);
  EXPECT_EQ(log.total(RefusalKind::kIdle), 1001);
  EXPECT_EQ(log.total(RefusalKind::kMemory), 0);
}

// Guards against refusals that are never told of because no other follows.
TEST(RefusalLog, TellsOfTheLastOnesLater) {
  RefusalLog log;
  log.Record(RefusalKind::kMemory, "a");
  EXPECT_EQ(log.TakeDue(0).size(), 1U);
  log.Record(RefusalKind::kMemory, "a");
  EXPECT_TRUE(log.TakeDue(999).empty());
  EXPECT_EQ(log.TakeDue(1000).size(), 1U);
  EXPECT_TRUE(log.TakeDue(5000).empty());
}

}  // namespace
}  // namespace kcm::net
