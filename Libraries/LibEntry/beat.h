#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "LibCore/clock.h"
#include "LibCore/json.h"

namespace kcm::entry {

/// What one entry process tells another about itself and about the holder.
struct Beat {
  std::string name;
  /// Where the sender's peers reach it, as "host:port".
  std::string address;
  /// Version of the routes in force there.
  std::int64_t routes_version = 0;
  /// The newest term that the sender knows; zero for none.
  std::int64_t epoch = 0;
  std::string holder;
  std::string holder_address;
  /// Age of the newest sign of life of the holder.
  core::Millis heard_ms = 0;
  /// The sender hears the holder without help of others.
  bool hears_directly = false;
  /// The sender holds the term.
  bool is_holder = false;
  /// For how long the store has not taken the holder's appends.
  core::Millis storeless_ms = 0;
  /// The holder gives the term up.
  bool resigned = false;
  /// Jobs of each queue of which no task has started; from the holder only.
  std::map<std::string, std::int64_t> pending;
  /// Addresses of processes that the sender has heard lately.
  std::vector<std::string> peers;
};

KCM_JSON(Beat,
         name,
         address,
         routes_version,
         epoch,
         holder,
         holder_address,
         heard_ms,
         hears_directly,
         is_holder,
         storeless_ms,
         resigned,
         pending,
         peers)

}  // namespace kcm::entry
