#pragma once

#include <map>
#include <memory>
#include <string>

#include "LibNode/node.h"
#include "LibPlatform/http_minion_port.h"
#include "LibRequest/fair_queue.h"
#include "LibRequest/retry_budget.h"
#include "LibRequest/router.h"
#include "LibRequest/token_bucket.h"
#include "intent_recorder.h"
#include "minion_watch.h"
#include "open_request.h"
#include "share_exchange.h"

namespace kcm::gateway {

/// Queues requests of client accounts and forwards them to minions.
class RequestApi {
 public:
  explicit RequestApi(node::Node& node);

  auto Submit(const ApiCall& call) -> void;

  /// @return number of requests accepted and not yet answered.
  [[nodiscard]] auto open_count() const -> std::size_t {
    return open_requests_.size();
  }

  /// @return number of open requests and of outcomes not yet in the log.
  [[nodiscard]] auto unfinished() const -> std::size_t {
    return open_requests_.size() + intents_.pending_outcomes();
  }

 private:
  using OpenPtr = std::shared_ptr<OpenRequest>;

  [[nodiscard]] auto ReadRequest(const ApiCall& call, core::Reason& reason)
      -> OpenPtr;
  [[nodiscard]] auto Admit(const OpenRequest& open, core::Reason& reason)
      -> bool;
  [[nodiscard]] auto CanMeetDeadline(const OpenRequest& open,
                                     double weight) const -> bool;
  auto RecordIntent(const OpenPtr& open) -> void;
  auto Enqueue(const OpenPtr& open) -> void;
  auto DispatchQueue() -> void;
  [[nodiscard]] auto AcquireRoute(const request::QueuedRequest& waiting)
      -> std::optional<request::Route>;
  [[nodiscard]] auto AttemptDeadline(const OpenRequest& open) const
      -> core::Millis;
  [[nodiscard]] auto MayCrossRegions(const OpenRequest& open) -> bool;
  auto ChargeLink(const OpenRequest& open,
                  const request::Route& route,
                  std::size_t bytes) -> void;
  auto SendTo(const OpenPtr& open, const request::Route& route) -> void;
  auto HandleMinionResult(const OpenPtr& open,
                          const request::Route& route,
                          const platform::MinionResult& result) -> void;
  auto RecordMinionHealth(const request::Route& route,
                          const platform::MinionResult& result) -> void;
  /// Releases the unit, or delays that while a minion may still use it.
  auto ReleaseConcurrency(OpenRequest& open) -> void;
  auto RetryOrFail(const OpenPtr& open, core::ErrorKind error) -> void;
  auto Finish(const OpenPtr& open, net::HttpResponse answer) -> void;
  auto Fail(const OpenPtr& open,
            core::ErrorKind kind,
            const std::string& message) -> void;

  node::Node& node_;
  platform::HttpMinionPort minions_;
  ShareExchange share_exchange_;
  request::Router router_;
  MinionWatch watch_;
  IntentRecorder intents_;
  request::FairQueue queue_;
  request::RetryBudget retry_budget_;
  std::map<std::string, request::TokenBucket> rate_buckets_;
  request::TokenBucket link_bucket_;
  std::map<std::uint64_t, OpenPtr> open_requests_;
  std::uint64_t next_id_ = 1;
  bool dispatching_ = false;
};

}  // namespace kcm::gateway
