#pragma once

#include <cstdint>
#include <span>
#include <string_view>

#include "LibCore/json.h"

namespace kcm::core {

/// Numbered log events; docs/EVENTS.md tells operators what to do on each.
enum class Event : std::uint16_t {
  kStarted = 100,
  kDraining = 101,
  kStopped = 102,
  kBadMessage = 103,
  kDrained = 104,
  kPeerSuspected = 200,
  kPeerAlive = 201,
  kLogUnreachable = 210,
  kLogReachable = 211,
  /// This relay now reads the platform's append-only log, to pass its records
  /// on to the other processes.
  kReaderTakenOver = 212,
  /// Records of the log arrived without the ones before them.
  kFollowGap = 213,
  kRecordRejected = 214,
  kRecoveryStarted = 215,
  kStreamRecovered = 216,
  kSnapshotPublished = 217,
  /// The relay is up to date with the log and may be followed.
  kRelayReady = 218,
  /// A process's state differs from the relay's after the same records.
  kFoldDiffers = 219,
  kTermClaimed = 300,
  kTermLost = 301,
  kJobPlaced = 310,
  kJobEnded = 311,
  kLeaseRefused = 312,
  kGangBroken = 313,
  kWorkerUnreachable = 314,
  kJobRequeued = 315,
  kGangPreempted = 316,
  kJobRefused = 317,
  kWorkerCordoned = 318,
  kSchedulerPaused = 319,
  kJobAccepted = 320,
  kRunEnded = 321,
  kRunHung = 322,
  kRunEvicted = 323,
  kStartRefused = 324,
  kWorkerListed = 325,
  kWorkerUnlisted = 326,
  kClaimFailed = 327,
  kTermResigned = 328,
  /// A term, the right to schedule, has a new holder.
  kHolderChanged = 329,
  kRunMoved = 330,
  kHolderLoad = 331,
  /// A new life of a worker has shown that it crashed.
  kWorkerCrashed = 332,
  kTaskImplicated = 333,
  kTaskGivenUp = 334,
  kWorkerReplaced = 335,
  kListingRemoved = 336,
  /// A worker's answer had no room for all its ends.
  kEndsCutShort = 337,
  /// A step waits for capacity; why it cannot be placed.
  kStepWaits = 338,
  kRackGivenUp = 339,
  /// The operators let no task start in a data centre.
  kDataCentreEvacuated = 340,
  kDataCentreRestored = 341,
  /// What the run times of a queue are taken for.
  kRunTimes = 348,
  kJobsOverLimit = 349,
  /// An operator edited a client account's row (limits, guarantees, token).
  kRowEdited = 400,
  /// A newer version of the operators' configuration (routes of calls,
  /// accounts, guarantees) replaced the present one.
  kRoutesTaken = 401,
  kRoutesRejected = 402,
  kSettingsReloaded = 403,
  kSettingsRejected = 404,
  kRequestRetried = 410,
  kRequestUnknown = 411,
  kEndpointEjected = 412,
  kEndpointLeaving = 413,
  kCallAnswered = 420,
  kCallRefused = 421,
  kReadyChanged = 422,
  /// The caller of a request may not see the job that it names.
  kJobHidden = 423,
  /// Requests of clients were refused before they ran, or connections closed,
  /// for a limit.
  kClientsRefused = 430,
};

enum class Severity : std::uint8_t { kInfo, kWarning, kError };

/// Entry of the event catalogue.
struct EventInfo {
  Event event;
  std::string_view name;
  Severity severity;
};

/// @return all events, ordered by number.
auto EventCatalogue() -> std::span<const EventInfo>;

/// @return the event's name in the catalogue.
auto NameOf(Event event) -> std::string_view;

enum class LogSink : std::uint8_t { kStandardError, kStandardOutput };

/// Sets up logging for this process.
/// @param process the name shown in each line, for example "entry-1/gateway".
/// @param as_json one JSON object per line instead of text.
/// @param sink standard output never blocks: when its reader is too slow, lines
///     are dropped and their number is written before the next.
auto SetUpLogging(std::string_view process,
                  bool as_json,
                  LogSink sink = LogSink::kStandardError) -> void;

/// Logs one event with its fields. They may hold anything: bytes that are not
/// UTF-8 are replaced, long values cut, and the line has a maximum length.
auto LogEvent(Event event, const Json& fields = Json::object()) -> void;

}  // namespace kcm::core
