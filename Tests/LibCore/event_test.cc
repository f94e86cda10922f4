#include "LibCore/event.h"

#include <gtest/gtest.h>

#include <cmath>
#include <string>
#include <tuple>
#include <utility>

namespace kcm::core {
namespace {

struct LineCase {
  std::string name;
  Json fields;
};

class EventLineTest : public testing::TestWithParam<LineCase> {};

// Lines are put together as text. A wrong comma or an unescaped name would make
// every line unreadable to the operators' tools.
TEST_P(EventLineTest, IsOneJsonObjectWithTheFields) {
  SetUpLogging("entry \"1\"", true);
  testing::internal::CaptureStderr();
  LogEvent(Event::kRunEnded, GetParam().fields);
  const auto text = testing::internal::GetCapturedStderr();
  ASSERT_EQ(text.find('\n'), text.size() - 1);
  auto line = Json::parse(text, nullptr, false);
  ASSERT_TRUE(line.is_object()) << text;
  EXPECT_TRUE(line["at_ms"].is_number_integer());
  EXPECT_EQ(line["event"], 321);
  EXPECT_EQ(line["name"], "run_ended");
  EXPECT_EQ(line["process"], "entry \"1\"");
  for (const auto& [key, value] : GetParam().fields.items()) {
    EXPECT_TRUE(key == "process" || line[key] == value) << text;
  }
}

INSTANTIATE_TEST_SUITE_P(
    Fields,
    EventLineTest,
    testing::Values(LineCase{"none", Json::object()},
                    LineCase{"null", Json()},
                    LineCase{"one", {{"job", "a \"b\" }"}}},
                    LineCase{"nested", {{"a", {{"b", 1}}}, {"c", {1, 2}}}},
                    LineCase{"own_name", {{"process", "other"}, {"x", 1}}}),
    [](const auto& info) { return info.param.name; });

auto NestedArrays(int depth) -> Json {
  Json document = Json::array();
  for (int level = 1; level < depth; ++level) {
    auto outer = Json::array();
    outer.push_back(std::move(document));
    document = std::move(outer);
  }
  return document;
}

auto WithMember(const std::string& name, Json value) -> Json {
  Json fields = Json::object();
  fields[name] = std::move(value);
  return fields;
}

struct OddFields {
  std::string name;
  Json (*make)();
};

class EventLineOddTest
    : public testing::TestWithParam<std::tuple<OddFields, bool>> {};

// Fields hold keys, paths and error texts that come from other processes. If
// some of them could not be written, the exception or the overflow of the stack
// would end the process, and the next one that gets the same text too.
TEST_P(EventLineOddTest, IsWrittenAndBounded) {
  constexpr std::size_t kMaxLineBytes = 20000;
  const auto& [fields, as_json] = GetParam();
  SetUpLogging("entry-1", as_json);
  testing::internal::CaptureStderr();
  EXPECT_NO_THROW(LogEvent(Event::kRecordRejected, fields.make()));
  const auto text = testing::internal::GetCapturedStderr();
  EXPECT_NE(text.find("record_rejected"), std::string::npos);
  EXPECT_LT(text.size(), kMaxLineBytes);
  if (as_json) {
    const auto line = Json::parse(text, nullptr, false);
    ASSERT_TRUE(line.is_object());
    EXPECT_EQ(line["event"], 214);
  }
}

INSTANTIATE_TEST_SUITE_P(
    Fields,
    EventLineOddTest,
    testing::Combine(
        testing::Values(
            OddFields{"not_utf8", [] { return WithMember("key", "\xff\xfe"); }},
            OddFields{"name_not_utf8", [] { return WithMember("\xc3", 1); }},
            OddFields{"cut_utf8",
                      [] { return WithMember("key", "a\xe2\x82"); }},
            OddFields{"deep",
                      [] { return WithMember("row", NestedArrays(100000)); }},
            OddFields{"not_a_number", [] { return WithMember("x", NAN); }},
            OddFields{
                "long",
                [] { return WithMember("x", std::string(1000000, 'x')); }},
            OddFields{
                "long_not_utf8",
                [] { return WithMember("x", std::string(1000000, '\xff')); }},
            OddFields{"list",
                      [] {
                        return Json::array({1, 2});
                      }}),
        testing::Bool()),
    [](const auto& info) {
      return std::get<0>(info.param).name +
             (std::get<1>(info.param) ? "_json" : "_text");
    });

}  // namespace
}  // namespace kcm::core
