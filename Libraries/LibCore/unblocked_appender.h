#pragma once

#include <log4cxx/appenderskeleton.h>

#include <cstdint>

namespace kcm::core {

/// Writes the messages of log events to standard output, a line each, without
/// ever waiting for its reader. A line that does not fit is dropped, and the
/// next one says how many were.
class UnblockedAppender : public log4cxx::AppenderSkeleton {
 public:
  UnblockedAppender();

  auto close() -> void override {}
  [[nodiscard]] auto requiresLayout() const -> bool override { return false; }

 protected:
  auto append(const log4cxx::spi::LoggingEventPtr& event,
              log4cxx::helpers::Pool& pool) -> void override;

 private:
  std::uint64_t dropped_ = 0;
};

}  // namespace kcm::core
