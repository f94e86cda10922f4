#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "LibCore/clock.h"
#include "LibCore/json.h"

namespace kcm::platform {

/// Outcome of an append, as far as the writer can tell.
enum class AppendOutcome : std::uint8_t {
  kAppended,
  /// Nothing was appended: the log said so, or the request was never sent.
  kRefused,
  /// As kRefused, because of too many appends; the log is up.
  kThrottled,
  /// The records may or may not be in the log.
  kUnknown,
};

/// Outcome of a read.
enum class ReadOutcome : std::uint8_t {
  kRead,
  kUnreachable,
  /// The records asked for are past their retention.
  kExpired,
};

/// Records read from one stream.
struct ReadResult {
  ReadOutcome outcome = ReadOutcome::kUnreachable;
  std::int64_t first_offset = 0;
  std::vector<core::Json> records;
  /// Oldest offset that the log still has; set for kExpired.
  std::int64_t earliest_offset = 0;
};

/// The platform's append-only log of JSON records in named streams.
///
/// Holds the durable state of gateway, scheduler and relay; the processes of
/// Services/Entry use KeyedStore instead.
class LogClient {
 public:
  using AppendDone = std::function<void(AppendOutcome)>;
  using ReadDone = std::function<void(ReadResult)>;

  virtual ~LogClient() = default;

  /// Appends records in order, all or none.
  virtual auto Append(const std::string& stream,
                      const std::vector<core::Json>& records,
                      AppendDone done) -> void = 0;

  /// Reads records from an offset on.
  /// @param wait time that the log may wait for the first new record.
  virtual auto Read(const std::string& stream,
                    std::int64_t from_offset,
                    core::Millis wait,
                    ReadDone done) -> void = 0;
};

}  // namespace kcm::platform
