#include "wait_explainer.h"

#include <utility>

namespace kcm::gateway {

namespace {

constexpr core::Millis kAnswerTimeout = 300;

}  // namespace

WaitExplainer::WaitExplainer(node::Node& node) : node_(node) {
  node_.bus().OnMessage("explained", [this](const net::BusMessage& message) {
    CompleteQuery(message.body.value("ticket", std::int64_t{0}),
                  message.body.value("text", ""));
  });
}

auto WaitExplainer::RequestExplanation(const state::Job& job, Done done)
    -> void {
  const auto* cell = node_.log().cluster_state().FindCell(job.spec.data_centre);
  if (cell == nullptr || cell->term().holder.empty()) {
    done("no scheduler holds the term of " + job.spec.data_centre);
    return;
  }
  const auto ticket = ++next_ticket_;
  pending_[ticket] = std::move(done);
  node_.bus().Send(cell->term().holder, "explain",
                   {{"ticket", ticket},
                    {"job", job.id},
                    {"data_centre", job.spec.data_centre}});
  node_.loop().After(kAnswerTimeout,
                     [this, ticket] { CompleteQuery(ticket, ""); });
}

auto WaitExplainer::CompleteQuery(std::int64_t ticket, const std::string& text)
    -> void {
  const auto found = pending_.find(ticket);
  if (found == pending_.end()) {
    return;
  }
  const auto done = std::move(found->second);
  pending_.erase(found);
  done(text);
}

}  // namespace kcm::gateway
