#include "LibCore/service_command_line.h"

#include <gtest/gtest.h>

namespace kcm::core {
namespace {

struct CommandLineCase {
  const char* name;
  std::vector<const char*> arguments;
  std::optional<int> exit_code;
  const char* config;
  bool check;
  /// Expected parts of standard output and standard error.
  const char* printed;
  const char* error;
};

class ServiceCommandLineTest : public testing::TestWithParam<CommandLineCase> {
};

TEST_P(ServiceCommandLineTest, ParsesOrRejects) {
  auto arguments = GetParam().arguments;
  arguments.insert(arguments.begin(), "kcm-test");
  testing::internal::CaptureStdout();
  testing::internal::CaptureStderr();
  const auto line = ParseServiceCommandLine(
      static_cast<int>(arguments.size()), arguments.data(), "kcm-test",
      "A test.",
      {{"more", "print more", [] { return std::string("more\n"); }}});
  const auto printed = testing::internal::GetCapturedStdout();
  const auto error = testing::internal::GetCapturedStderr();
  EXPECT_EQ(line.exit_code, GetParam().exit_code);
  EXPECT_EQ(line.config, GetParam().config);
  EXPECT_EQ(line.check, GetParam().check);
  EXPECT_NE(printed.find(GetParam().printed), std::string::npos) << printed;
  EXPECT_NE(error.find(GetParam().error), std::string::npos);
}

INSTANTIATE_TEST_SUITE_P(
    Lines,
    ServiceCommandLineTest,
    testing::Values(
        CommandLineCase{"NoArguments", {}, std::nullopt, "", false, "", ""},
        CommandLineCase{"Config",
                        {"--config", "a"},
                        std::nullopt,
                        "a",
                        false,
                        "",
                        ""},
        CommandLineCase{"Check",
                        {"--config", "a", "--check"},
                        std::nullopt,
                        "a",
                        true,
                        "",
                        ""},
        CommandLineCase{"Version",
                        {"--version"},
                        0,
                        "",
                        false,
                        "kcm-test 0.1.0\n",
                        ""},
        CommandLineCase{"Help", {"--help"}, 0, "", false, "--config", ""},
        CommandLineCase{"PrintOption", {"--more"}, 0, "", false, "more\n", ""},
        CommandLineCase{"UnknownOption",
                        {"--x"},
                        kExitUsage,
                        "",
                        false,
                        "",
                        "kcm-test: "},
        CommandLineCase{"MissingFileName",
                        {"--config"},
                        kExitUsage,
                        "",
                        false,
                        "",
                        "kcm-test: "}),
    [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace kcm::core
