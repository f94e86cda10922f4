#include "LibCore/address.h"

#include <gtest/gtest.h>

#include <string>

namespace kcm::core {
namespace {

struct AddressCase {
  std::string name;
  std::string text;
  bool is_read = false;
};

class AddressTest : public testing::TestWithParam<AddressCase> {};

// A host that is a name is looked up when a connection is opened, which blocks
// the process; a port out of range must not wrap to another one.
TEST_P(AddressTest, IsAnIpv4AddressWithAPort) {
  Reason reason;
  const auto address = ParseAddress(GetParam().text, "peer", reason);
  EXPECT_EQ(address.has_value(), GetParam().is_read);
  EXPECT_EQ(address ? address->ToString() : "",
            GetParam().is_read ? GetParam().text : "");
  EXPECT_EQ(reason.field, GetParam().is_read ? "" : "peer");
}

INSTANTIATE_TEST_SUITE_P(
    Texts,
    AddressTest,
    testing::Values(AddressCase{"usual", "10.0.0.1:80", true},
                    AddressCase{"highest", "255.255.255.255:65535", true},
                    AddressCase{"empty", "", false},
                    AddressCase{"no_port", "10.0.0.1", false},
                    AddressCase{"port_0", "10.0.0.1:0", false},
                    AddressCase{"port_65536", "10.0.0.1:65536", false},
                    AddressCase{"port_negative", "10.0.0.1:-1", false},
                    AddressCase{"port_plus", "10.0.0.1:+1", false},
                    AddressCase{"port_fraction", "10.0.0.1:80.0", false},
                    AddressCase{"name", "foo:80", false},
                    AddressCase{"localhost", "localhost:80", false},
                    AddressCase{"three_parts", "10.0.1:80", false},
                    AddressCase{"part_256", "10.0.0.256:80", false},
                    AddressCase{"space", " 10.0.0.1:80", false},
                    AddressCase{"zero_byte", std::string("10.0.0.1\0:80", 12),
                                false},
                    AddressCase{"ipv6", "[::1]:80", false}),
    [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace kcm::core
