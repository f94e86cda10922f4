#pragma once

namespace kcm::node {

class Node;

/// Registers the metrics common to all processes: bus traffic, next offset of
/// each stream, terms, jobs by status, processor time and memory.
auto RegisterNodeSamples(Node& node) -> void;

}  // namespace kcm::node
