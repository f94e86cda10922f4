#include "LibState/stream_recovery.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <string>
#include <vector>

#include "LibState/table_fold.h"

namespace kcm::state {
namespace {

auto EditOf(std::int64_t version) -> Record {
  AccountRow row;
  row.account = "council";
  row.version = version;
  return MakeRecord(RecordKind::kRowEdited, "operator", row);
}

/// A stream of edits and snapshots, and the state it folds to.
class RecordedStream {
 public:
  auto Edit() -> void { Add(EditOf(fold_.version())); }

  /// @param damage part that is lost or corrupted; negative for none.
  auto Snapshot(std::int64_t damage = -1, bool lose = true) -> void {
    for (auto chunk : SplitSnapshot(fold_.ToSnapshot())) {
      if (chunk.part != damage) {
        Add(MakeRecord(RecordKind::kSnapshot, "relay", chunk));
      } else if (!lose) {
        chunk.text[0] = '?';
        Add(MakeRecord(RecordKind::kSnapshot, "relay", chunk));
      }
    }
  }

  /// Folds a copy of the stream whose first records expired.
  [[nodiscard]] auto Recover(std::size_t expired) const
      -> std::optional<TableFold> {
    StreamRecovery recovery(static_cast<std::int64_t>(expired));
    std::optional<TableFold> copy;
    for (std::size_t i = expired; i < records_.size(); ++i) {
      if (copy) {
        (void)copy->Apply(static_cast<std::int64_t>(i),
                          ReadRecord(records_[i]));
        continue;
      }
      if (const auto point = recovery.Add(records_[i])) {
        copy.emplace();
        EXPECT_TRUE(copy->LoadSnapshot(point->snapshot));
        auto offset = point->first_offset;
        for (const auto& raw : point->records) {
          (void)copy->Apply(offset++, ReadRecord(raw));
        }
      }
    }
    return copy;
  }

  [[nodiscard]] auto fold() const -> const TableFold& { return fold_; }
  [[nodiscard]] auto size() const -> std::size_t { return records_.size(); }

 private:
  auto Add(const Record& record) -> void {
    (void)fold_.Apply(fold_.next_offset(), record);
    records_.emplace_back(record);
  }

  TableFold fold_;
  std::vector<core::Json> records_;
};

constexpr int kEditsOfSeveralParts = 400;

struct DamageCase {
  const char* name;
  std::int64_t damage;
  bool lose;
};

class TornSnapshot : public testing::TestWithParam<DamageCase> {};

TEST_P(TornSnapshot, IsSkippedForACompleteOne) {
  RecordedStream stream;
  for (int i = 0; i < kEditsOfSeveralParts; ++i) {
    stream.Edit();
  }
  stream.Snapshot();
  const auto whole_end = stream.size();
  stream.Edit();
  stream.Snapshot(GetParam().damage, GetParam().lose);
  stream.Edit();
  const auto recovered = stream.Recover(kEditsOfSeveralParts);
  ASSERT_TRUE(recovered);
  EXPECT_EQ(recovered->Digest(), stream.fold().Digest());
  EXPECT_FALSE(stream.Recover(whole_end)) << "only a torn one is left";
}

INSTANTIATE_TEST_SUITE_P(Damages,
                         TornSnapshot,
                         testing::Values(DamageCase{"first_lost", 0, true},
                                         DamageCase{"second_lost", 1, true},
                                         DamageCase{"second_corrupted", 1,
                                                    false}),
                         [](const auto& info) { return info.param.name; });

RC_GTEST_PROP(StreamRecovery, RecoversTheStateOfTheWholeStreamOrNothing, ()) {
  RecordedStream stream;
  const auto steps =
      *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 8));
  for (const auto step : steps) {
    if (step == 0) {
      stream.Snapshot();
    } else {
      stream.Edit();
    }
  }
  const auto expired = *rc::gen::inRange<std::size_t>(0, stream.size() + 1);
  const auto recovered = stream.Recover(expired);
  if (recovered) {
    RC_ASSERT(recovered->Digest() == stream.fold().Digest());
    RC_ASSERT(recovered->results_digest() == stream.fold().results_digest());
  }
}

}  // namespace
}  // namespace kcm::state
