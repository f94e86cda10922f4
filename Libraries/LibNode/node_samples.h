#pragma once

namespace kcm::node {

class Node;

/// Samples at each scrape what every process has: its bus, its position in
/// each stream, the terms, the jobs by status, processor time and memory.
auto SampleOnScrape(Node& node) -> void;

}  // namespace kcm::node
