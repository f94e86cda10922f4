#include "LibNet/head_scanner.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>

namespace kcm::net {
namespace {

struct HeadCase {
  const char* name;
  std::string text;
  /// Bytes of the head, and whether it ends there.
  std::size_t bytes;
  bool done;
};

class Heads : public testing::TestWithParam<HeadCase> {};

// Guards against a body that is taken for a head and refused for its length,
// and against a head that is taken for a body and not bounded by the limit on
// heads.
TEST_P(Heads, EndWithTheFirstEmptyLineAfterOneWithContent) {
  HeadScanner scanner;
  EXPECT_EQ(scanner.Feed(GetParam().text), GetParam().bytes);
  EXPECT_EQ(scanner.bytes(), GetParam().bytes);
  EXPECT_EQ(scanner.done(), GetParam().done);
}

INSTANTIATE_TEST_SUITE_P(
    Texts,
    Heads,
    testing::Values(
        HeadCase{"Nothing", "", 0, false},
        HeadCase{"Whole", "GET / HTTP/1.1\r\n\r\n", 18, true},
        HeadCase{"LineFeeds", "GET / HTTP/1.1\n\n", 16, true},
        HeadCase{"Body", "GET /\r\na:b\r\n\r\nbody\r\n\r\n", 14, true},
        HeadCase{"EmptyLinesBefore", "\r\n\n\r\nGET /\r\n\r\n", 14, true},
        HeadCase{"EmptyLinesOnly", "\r\n\r\n\n\n", 6, false},
        HeadCase{"CarriageReturns", "\r\r\n\r\n", 5, true},
        HeadCase{"InALine", "GET / HT", 8, false},
        HeadCase{"BeforeTheLastByte", "GET /\r\n\r", 8, false}),
    [](const auto& info) { return info.param.name; });

// Bytes arrive in any pieces.
RC_GTEST_PROP(HeadScanner, FindsTheSameEndInAnyPieces, ()) {
  const auto text =
      *rc::gen::container<std::string>(rc::gen::element('\r', '\n', 'a', ':'));
  HeadScanner whole;
  whole.Feed(text);
  HeadScanner parts;
  for (std::size_t at = 0; at < text.size() && !parts.done();) {
    const auto size = *rc::gen::inRange<std::size_t>(1, 4);
    at += parts.Feed(std::string_view(text).substr(at, size));
  }
  RC_ASSERT(parts.done() == whole.done());
  RC_ASSERT(parts.bytes() == whole.bytes());
  RC_ASSERT(parts.lines() == whole.lines());
}

}  // namespace
}  // namespace kcm::net
