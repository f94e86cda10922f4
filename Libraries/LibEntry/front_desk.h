#pragma once

#include <functional>
#include <optional>
#include <string>

#include "LibEntry/client_call.h"
#include "LibEntry/holder_link.h"
#include "LibEntry/route_table.h"
#include "LibNode/metrics.h"

namespace kcm::entry {

/// Checks the calls of clients against the routes in force here and brings
/// them to the holder.
class FrontDesk {
 public:
  using Done = std::function<void(ClientAnswer)>;
  /// Reads the body of a submission.
  using ReadJob =
      std::function<std::optional<dispatch::JobSpec>(const std::string& body,
                                                     core::Reason& reason)>;
  /// @return whether a text can be the id of a job.
  using IsJobId = std::function<bool(const std::string& text)>;
  /// @return unstarted jobs of a queue, or nothing when nobody can tell.
  using PendingOf =
      std::function<std::optional<std::int64_t>(const std::string& queue)>;

  FrontDesk(const RouteTable& routes,
            HolderLink& holder,
            node::Metrics& metrics,
            ReadJob read_job,
            IsJobId is_job_id,
            PendingOf pending_of)
      : routes_(routes),
        holder_(holder),
        metrics_(metrics),
        read_job_(std::move(read_job)),
        is_job_id_(std::move(is_job_id)),
        pending_of_(std::move(pending_of)) {}

  /// Answers one call.
  auto Handle(const ClientCall& call, Done done) -> void;

 private:
  /// A call that the routes allow.
  struct Admitted {
    const Route* route = nullptr;
    std::string account;
    /// Empty when the call is about the queue.
    std::string job;
  };

  auto Admit(const ClientCall& call, core::Reason& reason) const
      -> std::optional<Admitted>;
  auto AnswerPending(const Admitted& admitted, const Done& done) const -> void;
  [[nodiscard]] auto MakeRequest(const ClientCall& call,
                                 const Admitted& admitted,
                                 core::Reason& reason) const
      -> std::optional<HolderRequest>;
  auto Finish(const ClientCall& call,
              const std::string& job,
              core::Millis since,
              ClientAnswer answer,
              const Done& done) const -> void;

  const RouteTable& routes_;
  HolderLink& holder_;
  node::Metrics& metrics_;
  ReadJob read_job_;
  IsJobId is_job_id_;
  PendingOf pending_of_;
};

}  // namespace kcm::entry
