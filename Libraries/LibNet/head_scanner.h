#pragma once

#include <cstddef>
#include <string_view>

namespace kcm::net {

/// Finds the end of a request's head in the bytes of a connection, and counts
/// what comes before it. Lines end with LF, or CR and LF. Empty lines before
/// the request line belong to the head.
class HeadScanner {
 public:
  /// Reads the next bytes of the connection.
  /// @return number of bytes that belong to the head; the others follow it.
  auto Feed(std::string_view text) -> std::size_t;

  [[nodiscard]] auto done() const -> bool { return done_; }
  /// @return bytes of the head so far, with line ends.
  [[nodiscard]] auto bytes() const -> std::size_t { return bytes_; }
  /// @return whole lines of the head so far.
  [[nodiscard]] auto lines() const -> std::size_t { return lines_; }

 private:
  std::size_t bytes_ = 0;
  std::size_t lines_ = 0;
  /// Whether the present line has a byte other than one CR.
  bool has_content_ = false;
  bool has_cr_ = false;
  /// Whether a line with content has ended.
  bool has_begun_ = false;
  bool done_ = false;
};

}  // namespace kcm::net
