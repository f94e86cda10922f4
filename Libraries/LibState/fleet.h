#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "LibCore/json.h"

namespace kcm::state {

/// A worker as the log records it, whether it is reachable or not.
struct WorkerRecord {
  std::string id;
  std::string data_centre;
  std::string rack;
  std::int64_t cores = 0;
  std::int64_t memory_mb = 0;
  std::int64_t accelerators = 0;
};

KCM_JSON(WorkerRecord, id, data_centre, rack, cores, memory_mb, accelerators)

/// All workers on record; every process validates row edits against them.
struct Fleet {
  std::int64_t version = 0;
  std::vector<WorkerRecord> workers;
};

KCM_JSON(Fleet, version, workers)

}  // namespace kcm::state
