#include "LibState/record.h"

#include <utility>

#include "LibCore/identity.h"

namespace kcm::state {

auto MakeRecord(RecordKind kind, const std::string& by, core::Json body)
    -> Record {
  return {core::MakeId("rec"), kind, 1, by, core::WallNow(), std::move(body)};
}

}  // namespace kcm::state
