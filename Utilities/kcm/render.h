#pragma once

#include <string>

#include "LibCore/json.h"

namespace kcm::cli {

/// Each function formats one kind of response as human-readable text.
/// The table: the client accounts' rows (limits, guarantees).
auto RenderTable(const core::Json& document) -> std::string;
/// One row of the table.
auto RenderRow(const core::Json& row) -> std::string;
/// The past edits of rows.
auto RenderHistory(const core::Json& document) -> std::string;
auto RenderFleet(const core::Json& fleet) -> std::string;
auto RenderSubmitted(const core::Json& document) -> std::string;
auto RenderCancelled(const core::Json& document) -> std::string;
auto RenderJobs(const core::Json& document) -> std::string;
auto RenderJob(const core::Json& job) -> std::string;
auto RenderProcesses(const core::Json& document) -> std::string;
auto RenderWorkers(const core::Json& document) -> std::string;
auto RenderCordon(const core::Json& document) -> std::string;
auto RenderMinions(const core::Json& document) -> std::string;
/// Evacuated data centres by the status of an entry VM.
auto RenderEvacuations(const core::Json& status) -> std::string;
/// The status of the gateway that was called.
auto RenderStatus(const core::Json& status) -> std::string;

}  // namespace kcm::cli
