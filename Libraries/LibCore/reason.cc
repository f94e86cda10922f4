#include "LibCore/reason.h"

namespace kcm::core {

auto ToErrorBody(const Reason& reason) -> Json {
  const auto& info = ErrorInfoOf(reason.kind);
  return Json{{"error", info.name},
              {"conclusion", NameOf(info.conclusion)},
              {"retryable", info.retryable},
              {"field", reason.field},
              {"message", reason.message}};
}

auto FromErrorBody(const Json& body) -> Reason {
  if (!body.is_object()) {
    return {ErrorKind::kInternal, "", "The response has no error body."};
  }
  return {ErrorKindOf(body.value("error", "internal")), body.value("field", ""),
          body.value("message", "")};
}

}  // namespace kcm::core
