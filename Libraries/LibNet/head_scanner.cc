#include "LibNet/head_scanner.h"

namespace kcm::net {

auto HeadScanner::Feed(std::string_view text) -> std::size_t {
  std::size_t read = 0;
  while (!done_ && read < text.size()) {
    const auto end = text.find('\n', read);
    const auto line =
        text.substr(read, end == std::string_view::npos ? end : end - read);
    has_content_ = has_content_ || line.size() > 1 ||
                   (line.size() == 1 && (has_cr_ || line.front() != '\r'));
    has_cr_ = has_cr_ || !line.empty();
    read += line.size();
    if (end == std::string_view::npos) {
      break;
    }
    ++read;
    ++lines_;
    done_ = has_begun_ && !has_content_;
    has_begun_ = has_begun_ || has_content_;
    has_content_ = false;
    has_cr_ = false;
  }
  bytes_ += read;
  return read;
}

}  // namespace kcm::net
