#include "LibCore/event.h"

#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

#include <array>
#include <string>

#include "LibCore/check.h"
#include "LibCore/clock.h"
#include "LibCore/json_decode.h"
#include "LibCore/non_blocking_appender.h"

namespace kcm::core {

namespace {

constexpr std::array kCatalogue = {
    EventInfo{Event::kStarted, "started", Severity::kInfo},
    EventInfo{Event::kDraining, "draining", Severity::kInfo},
    EventInfo{Event::kStopped, "stopped", Severity::kInfo},
    EventInfo{Event::kBadMessage, "bad_message", Severity::kWarning},
    EventInfo{Event::kDrained, "drained", Severity::kInfo},
    EventInfo{Event::kPeerSuspected, "peer_suspected", Severity::kWarning},
    EventInfo{Event::kPeerAlive, "peer_alive", Severity::kInfo},
    EventInfo{Event::kLogUnreachable, "log_unreachable", Severity::kError},
    EventInfo{Event::kLogReachable, "log_reachable", Severity::kInfo},
    EventInfo{Event::kReaderTakenOver, "reader_taken_over", Severity::kInfo},
    EventInfo{Event::kFollowGap, "follow_gap", Severity::kWarning},
    EventInfo{Event::kRecordRejected, "record_rejected", Severity::kWarning},
    EventInfo{Event::kRecoveryStarted, "recovery_started", Severity::kWarning},
    EventInfo{Event::kStreamRecovered, "stream_recovered", Severity::kInfo},
    EventInfo{Event::kSnapshotPublished, "snapshot_published", Severity::kInfo},
    EventInfo{Event::kRelayReady, "relay_ready", Severity::kInfo},
    EventInfo{Event::kFoldDiffers, "fold_differs", Severity::kError},
    EventInfo{Event::kTermClaimed, "term_claimed", Severity::kInfo},
    EventInfo{Event::kTermLost, "term_lost", Severity::kWarning},
    EventInfo{Event::kJobPlaced, "job_placed", Severity::kInfo},
    EventInfo{Event::kJobEnded, "job_ended", Severity::kInfo},
    EventInfo{Event::kLeaseRefused, "lease_refused", Severity::kWarning},
    EventInfo{Event::kGangBroken, "gang_broken", Severity::kWarning},
    EventInfo{Event::kWorkerUnreachable, "worker_unreachable",
              Severity::kWarning},
    EventInfo{Event::kJobRequeued, "job_requeued", Severity::kInfo},
    EventInfo{Event::kGangPreempted, "gang_preempted", Severity::kInfo},
    EventInfo{Event::kJobRefused, "job_refused", Severity::kWarning},
    EventInfo{Event::kWorkerCordoned, "worker_cordoned", Severity::kWarning},
    EventInfo{Event::kSchedulerPaused, "scheduler_paused", Severity::kWarning},
    EventInfo{Event::kJobAccepted, "job_accepted", Severity::kInfo},
    EventInfo{Event::kRunEnded, "run_ended", Severity::kInfo},
    EventInfo{Event::kRunHung, "run_hung", Severity::kWarning},
    EventInfo{Event::kRunEvicted, "run_evicted", Severity::kInfo},
    EventInfo{Event::kStartRefused, "start_refused", Severity::kWarning},
    EventInfo{Event::kWorkerListed, "worker_listed", Severity::kInfo},
    EventInfo{Event::kWorkerUnlisted, "worker_unlisted", Severity::kInfo},
    EventInfo{Event::kClaimFailed, "claim_failed", Severity::kInfo},
    EventInfo{Event::kTermResigned, "term_resigned", Severity::kInfo},
    EventInfo{Event::kHolderChanged, "holder_changed", Severity::kInfo},
    EventInfo{Event::kRunMoved, "run_moved", Severity::kInfo},
    EventInfo{Event::kHolderLoad, "holder_load", Severity::kInfo},
    EventInfo{Event::kWorkerCrashed, "worker_crashed", Severity::kWarning},
    EventInfo{Event::kTaskImplicated, "task_implicated", Severity::kWarning},
    EventInfo{Event::kTaskGivenUp, "task_given_up", Severity::kWarning},
    EventInfo{Event::kWorkerReplaced, "worker_replaced", Severity::kWarning},
    EventInfo{Event::kListingRemoved, "listing_removed", Severity::kInfo},
    EventInfo{Event::kEndsCutShort, "ends_cut_short", Severity::kInfo},
    EventInfo{Event::kStepWaits, "step_waits", Severity::kInfo},
    EventInfo{Event::kRackGivenUp, "rack_given_up", Severity::kInfo},
    EventInfo{Event::kDataCentreEvacuated, "data_centre_evacuated",
              Severity::kInfo},
    EventInfo{Event::kDataCentreRestored, "data_centre_restored",
              Severity::kInfo},
    EventInfo{Event::kRunTimes, "run_times", Severity::kInfo},
    EventInfo{Event::kJobsOverLimit, "jobs_over_limit", Severity::kWarning},
    EventInfo{Event::kRowEdited, "row_edited", Severity::kInfo},
    EventInfo{Event::kRoutesTaken, "routes_taken", Severity::kInfo},
    EventInfo{Event::kRoutesRejected, "routes_rejected", Severity::kError},
    EventInfo{Event::kSettingsReloaded, "settings_reloaded", Severity::kInfo},
    EventInfo{Event::kSettingsRejected, "settings_rejected", Severity::kError},
    EventInfo{Event::kRequestRetried, "request_retried", Severity::kInfo},
    EventInfo{Event::kRequestUnknown, "request_unknown", Severity::kWarning},
    EventInfo{Event::kEndpointEjected, "endpoint_ejected", Severity::kWarning},
    EventInfo{Event::kEndpointLeaving, "endpoint_leaving", Severity::kInfo},
    EventInfo{Event::kCallAnswered, "call_answered", Severity::kInfo},
    EventInfo{Event::kCallRefused, "call_refused", Severity::kInfo},
    EventInfo{Event::kReadyChanged, "ready_changed", Severity::kInfo},
    EventInfo{Event::kJobHidden, "job_hidden", Severity::kInfo},
    EventInfo{Event::kClientsRefused, "clients_refused", Severity::kInfo},
};

/// A longer value is cut, and fields that do not fit are left out.
constexpr std::size_t kMaxValueBytes = 2000;
constexpr std::size_t kMaxFieldsBytes = 8000;

struct LogOutput {
  std::string process;
  /// The name of the process as a JSON string.
  std::string process_json;
  bool as_json = false;
};

auto Output() -> LogOutput& {
  static LogOutput output;
  return output;
}

auto FindEventInfo(Event event) -> const EventInfo& {
  for (const auto& info : kCatalogue) {
    if (info.event == event) {
      return info;
    }
  }
  KCM_CHECK(false && "every event is in the catalogue");
  return kCatalogue.front();
}

/// @return a value as JSON, its beginning as a string if that is long.
auto FormatValue(const Json& value) -> std::string {
  if (IsTooDeep(value)) {
    return "\"nested too deeply\"";
  }
  auto text = ToJsonText(value);
  if (text.size() <= kMaxValueBytes) {
    return text;
  }
  text.resize(kMaxValueBytes);
  text += "...";
  return ToJsonText(text);
}

/// @return an object with as many of the fields as fit in a line, each as
///     FormatValue() returns it.
auto FormatLongFields(const Json& fields) -> std::string {
  std::string object = "{";
  for (const auto& [name, value] : fields.items()) {
    if (object.size() + name.size() > kMaxFieldsBytes) {
      break;
    }
    object += object.size() > 1 ? "," : "";
    object += ToJsonText(name) + ":" + FormatValue(value);
  }
  return object + "}";
}

auto FormatFields(const Json& fields) -> std::string {
  if (fields.is_object() && !IsTooDeep(fields)) {
    auto text = ToJsonText(fields);
    if (text.size() <= kMaxFieldsBytes) {
      return text;
    }
  }
  return FormatLongFields(fields);
}

auto FormatLine(const EventInfo& info, const Json& fields) -> std::string {
  const auto number = static_cast<int>(info.event);
  if (Output().as_json) {
    std::string line = "{";
    if (!fields.empty()) {
      line = FormatFields(fields);
      line.back() = ',';
    }
    // Added to the text, these members cost no copy of the fields. They come
    // last, because a reader takes the last of two with one name.
    line += R"("at_ms":)" + std::to_string(WallNow()) + R"(,"event":)" +
            std::to_string(number) + R"(,"name":")";
    line += info.name;
    line += R"(","process":)" + Output().process_json + "}";
    return line;
  }
  std::string line = "K";
  line += std::to_string(number);
  line += ' ';
  line += info.name;
  for (const auto& [key, value] : fields.items()) {
    if (line.size() + key.size() > kMaxFieldsBytes) {
      break;
    }
    line += ' ';
    line += key;
    line += '=';
    line += FormatValue(value);
  }
  return line;
}

}  // namespace

auto EventCatalogue() -> std::span<const EventInfo> {
  return kCatalogue;
}

auto NameOf(Event event) -> std::string_view {
  return FindEventInfo(event).name;
}

auto SetUpLogging(std::string_view process, bool as_json, LogSink sink)
    -> void {
  Output() = {std::string(process), ToJsonText(process), as_json};
  const std::string pattern =
      as_json ? "%m%n" : "%d %-5p " + Output().process + " %m%n";
  auto layout = std::make_shared<log4cxx::PatternLayout>(pattern);
  auto root = log4cxx::Logger::getRootLogger();
  root->removeAllAppenders();
  if (sink == LogSink::kStandardOutput) {
    root->addAppender(std::make_shared<NonBlockingAppender>());
  } else {
    root->addAppender(std::make_shared<log4cxx::ConsoleAppender>(
        layout, log4cxx::ConsoleAppender::getSystemErr()));
  }
  root->setLevel(log4cxx::Level::getInfo());
}

auto LogEvent(Event event, const Json& fields) -> void {
  static const auto logger = log4cxx::Logger::getLogger("kcm");
  const auto& info = FindEventInfo(event);
  const auto line = FormatLine(info, fields);
  switch (info.severity) {
    case Severity::kInfo:
      LOG4CXX_INFO(logger, line);
      return;
    case Severity::kWarning:
      LOG4CXX_WARN(logger, line);
      return;
    case Severity::kError:
      LOG4CXX_ERROR(logger, line);
      return;
  }
}

}  // namespace kcm::core
