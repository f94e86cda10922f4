#pragma once

namespace kcm::node {

class Node;

/// Answers "status_ask" messages with this process's table version, next
/// offsets and the data centres whose terms it holds.
auto RegisterStatusHandler(Node& node) -> void;

}  // namespace kcm::node
