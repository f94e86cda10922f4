#include "LibCore/non_blocking_appender.h"

#include <fcntl.h>
#include <log4cxx/spi/loggingevent.h>
#include <unistd.h>

#include <climits>
#include <string>

namespace kcm::core {

namespace {

/// Writes to a pipe are atomic up to this size.
constexpr std::size_t kMaxLineBytes = PIPE_BUF;

auto WriteLine(std::string line) -> bool {
  line.resize(std::min(line.size(), kMaxLineBytes - 1));
  line.push_back('\n');
  return write(STDOUT_FILENO, line.data(), line.size()) ==
         static_cast<ssize_t>(line.size());
}

}  // namespace

NonBlockingAppender::NonBlockingAppender() {
  fcntl(STDOUT_FILENO, F_SETFL, fcntl(STDOUT_FILENO, F_GETFL) | O_NONBLOCK);
}

auto NonBlockingAppender::append(const log4cxx::spi::LoggingEventPtr& event,
                                 log4cxx::helpers::Pool& /*pool*/) -> void {
  if (dropped_ > 0 && WriteLine(R"({"name":"lines_dropped","lines":)" +
                                std::to_string(dropped_) + "}")) {
    dropped_ = 0;
  }
  if (!WriteLine(event->getMessage())) {
    ++dropped_;
  }
}

}  // namespace kcm::core
