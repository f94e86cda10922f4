#include "LibState/shape.h"

#include <array>

#include "LibCore/field_table.h"
#include "LibCore/json_decode.h"

namespace kcm::state {

namespace {

constexpr double kMaxMembers = 1024;

const std::array kShapeFields = {
    core::Field<Shape>{"members", &Shape::members, true, 1, kMaxMembers,
                       "members of the gang"},
    core::Field<Shape>{"accelerators", &Shape::accelerators, true, 0, 64,
                       "accelerators of each member"},
    core::Field<Shape>{"cores", &Shape::cores, false, 1, 4096,
                       "processor cores of each member"},
    core::Field<Shape>{"memory_mb", &Shape::memory_mb, false, 1, 1e8,
                       "memory of each member in megabytes"},
};

}  // namespace

auto ReadShape(const core::Json& document, core::Reason& reason)
    -> std::optional<Shape> {
  constexpr std::array<std::string_view, 1> kExtra = {"adjacency"};
  auto shape = core::ReadFields<Shape>(kShapeFields, document, kExtra, reason);
  if (!shape || !document.contains("adjacency")) {
    return shape;
  }
  const auto& name = document.at("adjacency");
  const auto adjacency = name.is_string()
                             ? core::ValueOf<Adjacency>(name.get<std::string>())
                             : std::nullopt;
  if (!adjacency) {
    return reason.Fail(core::ErrorKind::kBadInput, "adjacency",
                       "adjacency is " + core::DescribeValue(name) +
                           "; allowed is " + core::AllNamesOf<Adjacency>() +
                           ".");
  }
  shape->adjacency = *adjacency;
  return shape;
}

}  // namespace kcm::state
