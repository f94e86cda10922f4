#include "LibNode/hop_span.h"

#include <utility>

namespace kcm::node {

HopSpan::HopSpan(Tracer& tracer, const std::string& parent, std::string name)
    : tracer_(tracer) {
  span_.context = tracer.ContinueTrace(parent, span_.parent_span_id);
  span_.name = std::move(name);
  span_.start_ns = core::WallNowNs();
}

auto HopSpan::SetAttribute(const std::string& attribute, std::string value)
    -> void {
  span_.attributes[attribute] = std::move(value);
}

auto HopSpan::End() -> void {
  if (span_.end_ns != 0) {
    return;
  }
  span_.end_ns = core::WallNowNs();
  tracer_.Record(span_);
}

}  // namespace kcm::node
