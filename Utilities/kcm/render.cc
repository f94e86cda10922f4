#include "render.h"

#include <algorithm>
#include <map>
#include <sstream>
#include <vector>

namespace kcm::cli {

namespace {

using Cells = std::vector<std::string>;

auto ToText(const core::Json& value) -> std::string {
  return value.is_string() ? value.get<std::string>() : value.dump();
}

/// Formats rows as aligned columns.
auto AlignColumns(const std::vector<Cells>& rows) -> std::string {
  std::vector<std::size_t> widths;
  for (const auto& row : rows) {
    widths.resize(std::max(widths.size(), row.size()));
    for (std::size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  std::string text;
  for (const auto& row : rows) {
    for (std::size_t i = 0; i < row.size(); ++i) {
      text += row[i];
      if (i + 1 < row.size()) {
        text += std::string(widths[i] - row[i].size() + 2, ' ');
      }
    }
    text += "\n";
  }
  return text;
}

auto CellsOf(const core::Json& object, const Cells& columns) -> Cells {
  Cells cells;
  for (const auto& column : columns) {
    cells.push_back(object.contains(column) ? ToText(object.at(column)) : "-");
  }
  return cells;
}

const Cells kRowColumns = {"account",      "version",     "weight",
                           "rate_per_s",   "concurrency", "queue",
                           "accelerators", "may_borrow",  "guarantees"};

/// Formats guarantees such as "hobart-a 1 of 2x8".
auto FormatGuarantees(const core::Json& guarantees) -> std::string {
  std::string text;
  for (const auto& guarantee : guarantees) {
    const auto& shape = guarantee.at("shape");
    text += (text.empty() ? "" : ", ") + ToText(guarantee.at("data_centre")) +
            " " + guarantee.at("count").dump() + " of " +
            shape.at("members").dump() + "x" + shape.at("accelerators").dump();
  }
  return text.empty() ? "-" : text;
}

/// Formats the runs in a data centre by job, such as "a 2, b 1, 3 others".
auto FormatJobs(const core::Json& data_centre) -> std::string {
  std::string text;
  for (const auto& job : data_centre.at("jobs")) {
    text += (text.empty() ? "" : ", ") + ToText(job.at("job")) + " " +
            job.at("runs").dump();
  }
  if (const auto& others = data_centre.at("other_jobs"); others != 0) {
    text += ", " + others.dump() + " others";
  }
  return text.empty() ? "-" : text;
}

auto CellsOfRow(const core::Json& row) -> Cells {
  auto cells = CellsOf(row, kRowColumns);
  cells.back() = FormatGuarantees(row.at("guarantees"));
  return cells;
}

}  // namespace

auto RenderTable(const core::Json& document) -> std::string {
  std::vector<Cells> rows = {kRowColumns};
  for (const auto& row : document.at("rows")) {
    rows.push_back(CellsOfRow(row));
  }
  return "table version " + document.at("version").dump() + "\n" +
         AlignColumns(rows);
}

auto RenderRow(const core::Json& row) -> std::string {
  return AlignColumns({kRowColumns, CellsOfRow(row)});
}

auto RenderHistory(const core::Json& document) -> std::string {
  std::vector<Cells> rows = {
      {"table_version", "at_ms", "by", "account", "row_version"}};
  for (const auto& change : document.at("history")) {
    rows.push_back({change.at("table_version").dump(),
                    change.at("at_ms").dump(), ToText(change.at("by")),
                    ToText(change.at("row").at("account")),
                    change.at("row").at("version").dump()});
  }
  return AlignColumns(rows);
}

auto RenderFleet(const core::Json& fleet) -> std::string {
  std::map<std::string, int> by_rack;
  for (const auto& worker : fleet.at("workers")) {
    ++by_rack[ToText(worker.at("data_centre")) + " " +
              ToText(worker.at("rack"))];
  }
  std::vector<Cells> rows = {{"data_centre rack", "workers"}};
  for (const auto& [rack, count] : by_rack) {
    rows.push_back({rack, std::to_string(count)});
  }
  return "fleet version " + fleet.at("version").dump() + "\n" +
         AlignColumns(rows);
}

auto RenderSubmitted(const core::Json& document) -> std::string {
  return ToText(document.at("job")) + "\n";
}

auto RenderCancelled(const core::Json& /*document*/) -> std::string {
  return "cancelled\n";
}

auto RenderJobs(const core::Json& document) -> std::string {
  const Cells columns = {"id", "account", "data_centre", "status", "reason"};
  std::vector<Cells> rows = {columns};
  for (const auto& job : document.at("jobs")) {
    rows.push_back(CellsOf(job, columns));
  }
  return AlignColumns(rows);
}

auto RenderJob(const core::Json& job) -> std::string {
  std::ostringstream text;
  text << ToText(job.at("id")) << " of " << ToText(job.at("spec").at("account"))
       << ": " << ToText(job.at("status"));
  if (!job.at("reason").empty() && job.at("reason") != "") {
    text << " (" << ToText(job.at("reason")) << ")";
  }
  text << ", attempt " << job.at("attempt") << "\n";
  if (job.contains("waiting_because")) {
    text << "  waiting: " << ToText(job.at("waiting_because")) << "\n";
  }
  for (const auto& change : job.at("history")) {
    text << "  at " << change.at("at") << " attempt " << change.at("attempt")
         << " " << ToText(change.at("status")) << " "
         << ToText(change.at("reason")) << "\n";
  }
  for (const auto& member : job.at("members")) {
    text << "  rack " << ToText(member.at("rack")) << ", worker "
         << ToText(member.at("worker")) << ", accelerators "
         << member.at("accelerators").dump() << "\n";
  }
  return text.str();
}

/// Formats a list of objects as a table with these columns.
auto RenderList(const core::Json& list, const Cells& columns) -> std::string {
  std::vector<Cells> rows = {columns};
  for (const auto& object : list) {
    rows.push_back(CellsOf(object, columns));
  }
  return AlignColumns(rows);
}

auto RenderProcesses(const core::Json& document) -> std::string {
  return "table version " + document.at("table_version").dump() + "\n" +
         RenderList(document.at("processes"),
                    {"name", "answered", "table_version", "in_force",
                     "records_behind", "schedules"});
}

auto RenderWorkers(const core::Json& document) -> std::string {
  return RenderList(document.at("workers"),
                    {"id", "data_centre", "rack", "accelerators", "cordoned",
                     "reason", "jobs"});
}

auto RenderCordon(const core::Json& document) -> std::string {
  return ToText(document.at("worker")) + (document.at("cordoned").get<bool>()
                                              ? " is cordoned\n"
                                              : " is not cordoned\n");
}

auto RenderMinions(const core::Json& document) -> std::string {
  return RenderList(document.at("minions"),
                    {"id", "data_centre", "address", "leaving"});
}

auto RenderEvacuations(const core::Json& status) -> std::string {
  std::ostringstream text;
  if (status.at("is_holder").get<bool>()) {
    text << "term holder " << ToText(status.at("name")) << ", "
         << (status.at("may_start").get<bool>() ? "starts tasks"
                                                : "starts no tasks")
         << ", has read the operators' table "
         << (status.at("read_age_ms").is_null()
                 ? std::string("never")
                 : status.at("read_age_ms").dump() + " ms ago")
         << "\n";
  } else {
    text << ToText(status.at("name"))
         << " is not the term holder, which is needed to tell what runs\n";
  }
  std::vector<Cells> rows = {{"data_centre", "since_ms", "empty", "runs",
                              "workers", "silent_workers", "jobs"}};
  for (const auto& data_centre : status.at("evacuated")) {
    auto cells = CellsOf(data_centre, rows.front());
    cells.back() = "-";
    if (data_centre.contains("jobs")) {
      cells.back() = FormatJobs(data_centre);
    }
    rows.push_back(std::move(cells));
  }
  text << AlignColumns(rows);
  return text.str();
}

auto RenderStatus(const core::Json& status) -> std::string {
  std::ostringstream text;
  text << ToText(status.at("node")) << ": table version "
       << status.at("table_version") << ", relay " << ToText(status.at("relay"))
       << ", open requests " << status.at("open_requests") << "\n";
  for (const auto& [data_centre, term] : status.at("terms").items()) {
    text << "  " << data_centre << ": term " << term.at("number")
         << ", scheduler " << ToText(term.at("holder")) << "\n";
  }
  return text.str();
}

}  // namespace kcm::cli
