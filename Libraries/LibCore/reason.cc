#include "LibCore/reason.h"

namespace kcm::core {

auto ToErrorBody(const Reason& reason) -> Json {
  const auto& answer = AnswerOf(reason.kind);
  return Json{{"error", answer.name},
              {"conclusion", NameOf(answer.conclusion)},
              {"retryable", answer.retryable},
              {"field", reason.field},
              {"message", reason.message}};
}

auto FromErrorBody(const Json& body) -> Reason {
  if (!body.is_object()) {
    return {ErrorKind::kInternal, "", "The answer holds no error body."};
  }
  return {ErrorKindOf(body.value("error", "internal")), body.value("field", ""),
          body.value("message", "")};
}

}  // namespace kcm::core
