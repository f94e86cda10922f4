#pragma once

#include <memory>
#include <string>

#include "LibEntry/boundary.h"
#include "LibEntry/entry_service.h"
#include "LibEntry/entry_settings.h"
#include "LibEntry/front_desk.h"
#include "LibNet/event_loop.h"
#include "LibNet/http_client.h"
#include "LibNet/http_server.h"
#include "LibNode/metrics.h"
#include "platform/store_client.h"
#include "platform/worker_client.h"

namespace kcm::entry {

/// One entry process: the platform's addresses on the outside, the entry
/// service inside, and the signals between them.
class EntryProcess {
 public:
  /// Takes the signals over; call before anything that takes time, because an
  /// unhandled SIGHUP ends the process.
  explicit EntryProcess(std::string settings_path);

  /// Opens all addresses.
  /// @return whether that worked; otherwise `reason` says what did not.
  [[nodiscard]] auto Open(const EntrySettings& settings, core::Reason& reason)
      -> bool;

  /// Runs until the process was told to stop and has drained.
  auto Run() -> void { loop_.Run(); }

 private:
  auto OpenFront(const EntrySettings& settings, core::Reason& reason) -> bool;
  auto Reload() -> void;
  auto ReloadIfChanged() -> void;
  auto Drain() -> void;
  auto StopWhenIdle(core::Millis draining_since) -> void;

  std::string settings_path_;
  EntrySettings settings_;
  net::EventLoop loop_;
  net::HttpClient http_;
  Boundary boundary_;
  std::unique_ptr<node::Metrics> metrics_;
  std::unique_ptr<adapter::StoreClient> store_;
  adapter::WorkerClient workers_;
  std::unique_ptr<EntryService> service_;
  std::unique_ptr<FrontDesk> desk_;
  std::unique_ptr<net::HttpServer> front_;
  std::unique_ptr<net::HttpServer> ready_;
  std::string settings_text_;
  bool draining_ = false;
  bool was_ready_ = false;
};

}  // namespace kcm::entry
