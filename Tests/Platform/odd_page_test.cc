#include <gtest/gtest.h>

#include <string>

#include "platform/store_client.h"

namespace kcm::adapter {
namespace {

auto DeeplyNested() -> std::string {
  constexpr std::size_t kDepth = 100000;
  return std::string(kDepth, '[') + std::string(kDepth, ']');
}

struct ItemCase {
  std::string name;
  std::string item;
};

class OddStoreItemTest : public testing::TestWithParam<ItemCase> {};

// A page that is dropped for one odd item is asked for again and again, and the
// table is never read.
TEST_P(OddStoreItemTest, LeavesTheOthersOfThePageReadable) {
  const auto read = DecodeNewest(
      R"({"items":[{"key":"a","value":"MQ==","offset":1},)" + GetParam().item +
      R"(,{"key":"z","value":"Mg==","offset":3}],"truncated":true,"end_offset":9})");
  ASSERT_TRUE(read.answered);
  ASSERT_GE(read.rows.size(), 2U);
  EXPECT_EQ(read.rows.front().value, "1");
  EXPECT_EQ(read.rows.back().key, "z");
  EXPECT_EQ(read.rows.back().value, "2");
  EXPECT_TRUE(read.truncated);
  EXPECT_EQ(read.end_offset, 9);
}

INSTANTIATE_TEST_SUITE_P(
    Items,
    OddStoreItemTest,
    testing::Values(
        ItemCase{"no_members", "{}"},
        ItemCase{"number", "7"},
        ItemCase{"null", "null"},
        ItemCase{"no_key", R"({"value":"MQ=="})"},
        ItemCase{"key_number", R"({"key":7,"value":"MQ=="})"},
        ItemCase{"key_empty", R"({"key":"","value":"MQ=="})"},
        ItemCase{"key_not_utf8", "{\"key\":\"\xff\xfe\",\"value\":\"MQ==\"}"},
        ItemCase{"no_value", R"({"key":"b"})"},
        ItemCase{"value_null", R"({"key":"b","value":null})"},
        ItemCase{"value_number", R"({"key":"b","value":7})"},
        ItemCase{"value_not_base64", R"({"key":"b","value":"***"})"}),
    [](const auto& info) { return info.param.name; });

struct PageCase {
  std::string name;
  std::string body;
};

class OddStorePageTest : public testing::TestWithParam<PageCase> {};

// A page without its end would make the reader take a part for the whole table.
TEST_P(OddStorePageTest, IsNoAnswer) {
  EXPECT_FALSE(DecodeNewest(GetParam().body).answered);
}

INSTANTIATE_TEST_SUITE_P(
    Pages,
    OddStorePageTest,
    testing::Values(
        PageCase{"empty", ""},
        PageCase{"list", "[]"},
        PageCase{"deep", DeeplyNested()},
        PageCase{"value_deep", R"({"items":[{"key":"b","value":)" +
                                   DeeplyNested() +
                                   R"(}],"truncated":false,"end_offset":1})"},
        PageCase{"items_object",
                 R"({"items":{},"truncated":false,"end_offset":1})"},
        PageCase{"no_end", R"({"items":[],"truncated":false})"},
        PageCase{"end_negative",
                 R"({"items":[],"truncated":false,"end_offset":-1})"},
        PageCase{"end_1e300",
                 R"({"items":[],"truncated":false,"end_offset":1e300})"},
        PageCase{
            "end_2_63",
            R"({"items":[],"truncated":false,"end_offset":9223372036854775808})"},
        PageCase{"truncated_number",
                 R"({"items":[],"truncated":0,"end_offset":1})"}),
    [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace kcm::adapter
