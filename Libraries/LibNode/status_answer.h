#pragma once

namespace kcm::node {

class Node;

/// Answers "status_ask" messages with what this process holds: its version of
/// the table, its offsets and the data centres that it schedules.
auto AnswerStatus(Node& node) -> void;

}  // namespace kcm::node
