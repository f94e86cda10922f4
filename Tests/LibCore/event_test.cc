#include "LibCore/event.h"

#include <gtest/gtest.h>

#include <string>

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

}  // namespace
}  // namespace kcm::core
