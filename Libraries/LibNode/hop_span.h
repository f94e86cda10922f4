#pragma once

#include <string>

#include "LibNode/tracer.h"

namespace kcm::node {

/// Span of one hop of a trace: one process on a request's path. The span starts
/// on construction and is recorded by End().
class HopSpan {
 public:
  /// @param tracer outlives the span.
  /// @param parent traceparent of the hop before; may be empty.
  HopSpan(Tracer& tracer, const std::string& parent, std::string name);
  HopSpan(const HopSpan&) = delete;
  auto operator=(const HopSpan&) -> HopSpan& = delete;

  /// @return the header for the next hop.
  [[nodiscard]] auto traceparent() const -> std::string {
    return core::ToTraceparent(span_.context);
  }

  auto SetAttribute(const std::string& attribute, std::string value) -> void;

  /// Records the span; later calls do nothing.
  auto End() -> void;

 private:
  Tracer& tracer_;
  core::Span span_;
};

}  // namespace kcm::node
