#include "LibCore/service_command_line.h"

#include <gtest/gtest.h>

namespace kcm::core {
namespace {

struct LineCase {
  const char* name;
  std::vector<const char*> words;
  std::optional<int> exit_code;
  const char* config;
  bool check;
  /// Part of what is printed, and of what is complained about.
  const char* printed;
  const char* complaint;
};

class ServiceLine : public testing::TestWithParam<LineCase> {};

TEST_P(ServiceLine, IsReadOrRefused) {
  auto words = GetParam().words;
  words.insert(words.begin(), "kcm-test");
  testing::internal::CaptureStdout();
  testing::internal::CaptureStderr();
  const auto line = ParseServiceCommandLine(
      static_cast<int>(words.size()), words.data(), "kcm-test", "A test.",
      {{"more", "print more", [] { return std::string("more\n"); }}});
  const auto printed = testing::internal::GetCapturedStdout();
  const auto complaint = testing::internal::GetCapturedStderr();
  EXPECT_EQ(line.exit_code, GetParam().exit_code);
  EXPECT_EQ(line.config, GetParam().config);
  EXPECT_EQ(line.check, GetParam().check);
  EXPECT_NE(printed.find(GetParam().printed), std::string::npos) << printed;
  EXPECT_NE(complaint.find(GetParam().complaint), std::string::npos);
}

INSTANTIATE_TEST_SUITE_P(
    Lines,
    ServiceLine,
    testing::Values(
        LineCase{"Nothing", {}, std::nullopt, "", false, "", ""},
        LineCase{"Config", {"--config", "a"}, std::nullopt, "a", false, "", ""},
        LineCase{"Check",
                 {"--config", "a", "--check"},
                 std::nullopt,
                 "a",
                 true,
                 "",
                 ""},
        LineCase{"Version",
                 {"--version"},
                 0,
                 "",
                 false,
                 "kcm-test 0.1.0\n",
                 ""},
        LineCase{"Help", {"--help"}, 0, "", false, "--config", ""},
        LineCase{"More", {"--more"}, 0, "", false, "more\n", ""},
        LineCase{"Unknown", {"--x"}, kExitUsage, "", false, "", "kcm-test: "},
        LineCase{"NoFile",
                 {"--config"},
                 kExitUsage,
                 "",
                 false,
                 "",
                 "kcm-test: "}),
    [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace kcm::core
