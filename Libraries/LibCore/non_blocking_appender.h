#pragma once

#include <log4cxx/appenderskeleton.h>

#include <cstdint>

namespace kcm::core {

/// Writes each log event as one line to standard output and never blocks.
/// Lines that do not fit into the pipe are dropped; their number is written
/// before the next line.
class NonBlockingAppender : public log4cxx::AppenderSkeleton {
 public:
  NonBlockingAppender();

  auto close() -> void override {}
  [[nodiscard]] auto requiresLayout() const -> bool override { return false; }

 protected:
  auto append(const log4cxx::spi::LoggingEventPtr& event,
              log4cxx::helpers::Pool& pool) -> void override;

 private:
  std::uint64_t dropped_ = 0;
};

}  // namespace kcm::core
