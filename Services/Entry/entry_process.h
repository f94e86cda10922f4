#pragma once

#include <memory>
#include <string>

#include "LibEntry/client_request_handler.h"
#include "LibEntry/entry_service.h"
#include "LibEntry/entry_settings.h"
#include "LibEntry/platform_decoders.h"
#include "LibNet/event_loop.h"
#include "LibNet/http_client.h"
#include "LibNet/http_server.h"
#include "LibNode/metrics.h"
#include "platform/store_client.h"
#include "platform/worker_client.h"

namespace kcm::entry {

/// The one process of an entry VM on the users' platform, in place of gateway,
/// scheduler and relay: its servers for clients and readiness checks, the entry
/// service, which schedules jobs while this process holds the term, and the
/// handling of signals.
class EntryProcess {
 public:
  /// Installs the signal handlers; construct before any slow work, because an
  /// unhandled SIGHUP ends the process.
  explicit EntryProcess(std::string settings_path);

  /// Opens all listening addresses.
  /// @return true, or false with `reason` naming what failed.
  [[nodiscard]] auto Open(const EntrySettings& settings, core::Reason& reason)
      -> bool;

  /// Runs until SIGTERM or SIGINT arrives and the process has drained; SIGHUP
  /// reloads the settings.
  auto Run() -> void { loop_.Run(); }

 private:
  auto OpenServers(const EntrySettings& settings, core::Reason& reason) -> bool;
  auto Reload() -> void;
  auto ReloadIfChanged() -> void;
  auto Drain() -> void;
  auto StopWhenIdle(core::Millis draining_since) -> void;
  /// @return whether everything that was received is answered and the term is
  ///     left to others.
  [[nodiscard]] auto IsDone() const -> bool;

  std::string settings_path_;
  EntrySettings settings_;
  net::EventLoop loop_;
  net::TrafficMeter traffic_;
  net::HttpClient http_;
  PlatformDecoders decoders_;
  /// Of all servers of this process.
  std::shared_ptr<net::ConnectionTable> connections_;
  std::unique_ptr<node::Metrics> metrics_;
  std::unique_ptr<adapter::StoreClient> store_;
  adapter::WorkerClient workers_;
  std::unique_ptr<EntryService> service_;
  std::unique_ptr<ClientRequestHandler> client_request_handler_;
  std::unique_ptr<net::HttpServer> client_server_;
  std::unique_ptr<net::HttpServer> readiness_server_;
  std::string settings_text_;
  bool draining_ = false;
  bool has_closed_requests_ = false;
  bool was_ready_ = false;
};

}  // namespace kcm::entry
