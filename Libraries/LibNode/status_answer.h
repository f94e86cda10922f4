#pragma once

namespace kcm::node {

class Node;

/// Answers "status_ask" messages with the version of the table of client
/// accounts that this process applied, its next offset in each stream, and the
/// data centres whose scheduler it is.
auto RegisterStatusHandler(Node& node) -> void;

}  // namespace kcm::node
