#pragma once

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "LibNode/node.h"
#include "LibPlatform/http_minion_port.h"
#include "LibRequest/router.h"
#include "api_call.h"

namespace kcm::gateway {

/// Passes client accounts' requests on to minions.
class RequestApi {
 public:
  explicit RequestApi(node::Node& node);

  auto Submit(const ApiCall& call) -> void;

  /// @return requests accepted and not yet answered.
  [[nodiscard]] auto open() const -> std::size_t { return open_; }

 private:
  struct Open;

  auto PollMinions() -> void;
  auto RecordIntent(const std::shared_ptr<Open>& open) -> void;
  auto AnswerRecorded(const std::shared_ptr<Open>& open) -> void;
  auto Enqueue(std::shared_ptr<Open> open) -> void;
  auto DispatchQueue() -> void;
  auto SendTo(const std::shared_ptr<Open>& open, const std::string& minion)
      -> void;
  auto OnResult(const std::shared_ptr<Open>& open,
                const std::string& minion,
                const platform::MinionResult& result) -> void;
  auto Retry(const std::shared_ptr<Open>& open) -> void;
  auto Finish(const std::shared_ptr<Open>& open,
              core::Conclusion conclusion,
              const net::HttpAnswer& answer) -> void;
  auto Fail(const std::shared_ptr<Open>& open,
            core::ErrorKind kind,
            const std::string& message) -> void;

  node::Node& node_;
  platform::HttpMinionPort minions_;
  request::Router router_;
  std::map<std::string, core::Address> addresses_;
  std::deque<std::shared_ptr<Open>> queue_;
  std::size_t open_ = 0;
};

}  // namespace kcm::gateway
