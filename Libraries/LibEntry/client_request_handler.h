#pragma once

#include <functional>
#include <optional>
#include <string>

#include "LibEntry/client_call.h"
#include "LibEntry/holder_client.h"
#include "LibEntry/route_table.h"
#include "LibEntry/routes_confirmation.h"
#include "LibNode/metrics.h"

namespace kcm::entry {

/// Checks client calls against the routes in force and forwards them to the
/// term holder. A call that these do not allow is refused for good only if they
/// are known to be the newest, and right after a pause of this process no call
/// is judged by the routes from before it while the store answers.
class ClientRequestHandler {
 public:
  using Done = std::function<void(ClientAnswer)>;
  /// Decodes the body of a submission.
  using ReadJob =
      std::function<std::optional<dispatch::JobSpec>(const std::string& body,
                                                     core::Reason& reason)>;
  /// @return whether a text can be the id of a job.
  using IsJobId = std::function<bool(const std::string& text)>;
  /// @return number of jobs of a queue in phase kQueued, or nothing if
  ///     unknown.
  using PendingJobs =
      std::function<std::optional<std::int64_t>(const std::string& queue)>;

  ClientRequestHandler(const RouteTable& routes,
                       RoutesConfirmation& confirmation,
                       HolderClient& holder,
                       node::Metrics& metrics,
                       ReadJob read_job,
                       IsJobId is_job_id,
                       PendingJobs pending_jobs)
      : routes_(routes),
        confirmation_(confirmation),
        holder_(holder),
        metrics_(metrics),
        read_job_(std::move(read_job)),
        is_job_id_(std::move(is_job_id)),
        pending_jobs_(std::move(pending_jobs)) {}

  /// @param done called once with the answer.
  auto HandleCall(const ClientCall& call, const Done& done) -> void;

 private:
  /// A call that the routes allow.
  struct Admitted {
    const Route* route = nullptr;
    std::string account;
    /// Empty when the call is about the queue.
    std::string job;
  };

  /// @return the call if the routes allow it, or nothing with `reason`, which
  ///     rests on the routes.
  auto Admit(const ClientCall& call, core::Reason& reason) const
      -> std::optional<Admitted>;
  /// Serves or refuses a call once the routes are confirmed, by the newest; if
  /// they are not in time, by those at hand, and never for good.
  auto JudgeOnceConfirmed(const ClientCall& call,
                          core::Millis started_at,
                          const Done& done) -> void;
  auto Serve(const ClientCall& call,
             const Admitted& admitted,
             core::Millis started_at,
             const Done& done) -> void;
  auto AnswerPending(const Admitted& admitted, const Done& done) const -> void;
  [[nodiscard]] auto MakeRequest(const ClientCall& call,
                                 const Admitted& admitted,
                                 core::Reason& reason) const
      -> std::optional<HolderRequest>;
  auto Finish(const ClientCall& call,
              const std::string& job,
              core::Millis started_at,
              ClientAnswer answer,
              const Done& done) const -> void;

  const RouteTable& routes_;
  RoutesConfirmation& confirmation_;
  HolderClient& holder_;
  node::Metrics& metrics_;
  ReadJob read_job_;
  IsJobId is_job_id_;
  PendingJobs pending_jobs_;
};

}  // namespace kcm::entry
