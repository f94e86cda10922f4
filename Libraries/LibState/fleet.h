#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "LibCore/json.h"

namespace kcm::state {

/// A worker as the log records it, independent of whether it lives now.
struct WorkerRecord {
  std::string id;
  std::string data_centre;
  std::string rack;
  std::int64_t cores = 0;
  std::int64_t memory_mb = 0;
  std::int64_t accelerators = 0;
};

KCM_JSON(WorkerRecord, id, data_centre, rack, cores, memory_mb, accelerators)

/// All workers on record; every process judges row edits against this list.
struct Fleet {
  std::int64_t version = 0;
  std::vector<WorkerRecord> workers;
};

KCM_JSON(Fleet, version, workers)

}  // namespace kcm::state
