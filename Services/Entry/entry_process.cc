#include "entry_process.h"

#include <algorithm>
#include <csignal>
#include <fstream>
#include <sstream>
#include <utility>

#include "LibCore/event.h"
#include "LibNet/http_status.h"
#include "platform/adapter.h"
#include "platform/client_http.h"
#include "platform/job_request.h"
#include "platform/names.h"
#include "platform/node_file.h"

namespace kcm::entry {

namespace {

using core::Millis;

/// The settings file may change without a signal; it is checked this often.
constexpr Millis kSettingsPeriodMs = 2000;
/// Clients are routed here until two readiness checks, a second apart, have
/// failed.
constexpr Millis kMinDrainMs = 3000;
/// Part of the grace period that is reserved for the exit itself.
constexpr Millis kExitMarginMs = 500;
/// Before that, time to write the answers of requests that are still open.
constexpr Millis kAnswerMarginMs = 300;
/// Time for a successor of this process as holder to take the term while this
/// one still answers.
constexpr Millis kSuccessionMs = 1000;
constexpr Millis kIdleCheckMs = 50;
/// Checks of the platform have short heads and no body.
constexpr net::HttpLimits kReadinessLimits = {.max_header_bytes = 16384,
                                              .max_body_bytes = 16384,
                                              .header_timeout_ms = 3000};

auto MaxDrainMs(const EntrySettings& settings) -> Millis {
  return std::max(settings.grace_ms - kExitMarginMs, Millis{0});
}

auto ReadText(const std::string& path) -> std::string {
  const std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

}  // namespace

EntryProcess::EntryProcess(std::string settings_path)
    : settings_path_(std::move(settings_path)),
      http_(loop_),
      decoders_(adapter::MakeDecoders()),
      workers_(http_) {
  http_.set_traffic_meter(&traffic_);
  std::signal(SIGPIPE, SIG_IGN);
  loop_.OnSignal(SIGTERM, [this] { Drain(); });
  loop_.OnSignal(SIGINT, [this] { Drain(); });
  loop_.OnSignal(SIGHUP, [this] { Reload(); });
}

auto EntryProcess::Open(const EntrySettings& settings, core::Reason& reason)
    -> bool {
  settings_ = settings;
  settings_text_ = ReadText(settings_path_);
  if (settings.max_descriptors > 0) {
    // The others are for calls in flight and for connections of callers and
    // peers.
    http_.set_max_idle(static_cast<std::size_t>(settings.max_descriptors / 2));
  }
  connections_ = std::make_shared<net::ConnectionTable>(
      net::MakeConnectionBounds(settings.memory_mb, settings.max_descriptors));
  metrics_ =
      node::Metrics::create(loop_, settings.metrics, reason, connections_);
  if (metrics_ == nullptr) {
    return false;
  }
  store_ = std::make_unique<adapter::StoreClient>(http_, settings.store);
  service_ = EntryService::create({loop_, http_, *store_, workers_, decoders_,
                                   *metrics_, traffic_, connections_},
                                  settings, reason);
  if (service_ == nullptr || !OpenServers(settings, reason)) {
    return false;
  }
  loop_.Every(kSettingsPeriodMs, [this] { ReloadIfChanged(); });
  return true;
}

auto EntryProcess::OpenServers(const EntrySettings& settings,
                               core::Reason& reason) -> bool {
  client_request_handler_ = std::make_unique<ClientRequestHandler>(
      service_->routes(), service_->routes_confirmation(),
      service_->holder_client(), *metrics_, adapter::DecodeJobRequest,
      adapter::IsJobId, [this](const std::string& queue) {
        return service_->PendingJobs(queue);
      });
  client_server_ = net::HttpServer::create(
      loop_, settings.front,
      [this](const net::HttpRequest& request, const net::HttpReply& reply) {
        traffic_.CountServed("client", request, reply);
        client_request_handler_->HandleCall(
            adapter::DecodeClientCall(request),
            [reply](const ClientAnswer& answer) {
              reply.Send(adapter::EncodeClientAnswer(answer));
            });
      },
      reason, service_->routes().ClientLimits(), connections_);
  if (client_server_ == nullptr) {
    return false;
  }
  service_->OnNewRoutes([this](const RouteTable& routes) {
    client_server_->SetLimits(routes.ClientLimits());
  });
  readiness_server_ = net::HttpServer::create(
      loop_, settings.ready,
      [this](const net::HttpRequest& /*request*/, const net::HttpReply& reply) {
        const auto is_ready = service_->IsReady();
        if (std::exchange(was_ready_, is_ready) != is_ready) {
          core::LogEvent(core::Event::kReadyChanged, {{"ready", is_ready}});
        }
        reply.Send(
            {is_ready ? net::kHttpOk : net::kHttpServiceUnavailable, {}, ""});
      },
      reason, kReadinessLimits, connections_);
  return readiness_server_ != nullptr;
}

auto EntryProcess::ReloadIfChanged() -> void {
  if (ReadText(settings_path_) != settings_text_) {
    Reload();
  }
}

auto EntryProcess::Reload() -> void {
  if (service_ == nullptr) {
    // The settings will be read at start-up anyway.
    return;
  }
  settings_text_ = ReadText(settings_path_);
  core::Reason reason;
  auto settings = adapter::ReadNodeFile(settings_path_, reason);
  if (!settings) {
    core::LogEvent(core::Event::kSettingsRejected,
                   {{"field", reason.field}, {"reason", reason.message}});
    return;
  }
  settings_ = std::move(*settings);
  store_->set_address(settings_.store);
  service_->SetSettings(settings_);
  core::LogEvent(core::Event::kSettingsReloaded,
                 {{"store", settings_.store.ToString()},
                  {"seeds", settings_.seeds.size()}});
}

auto EntryProcess::Drain() -> void {
  if (std::exchange(draining_, true)) {
    // Further signals do not shorten the drain.
    return;
  }
  core::LogEvent(core::Event::kDraining, {{"grace_ms", settings_.grace_ms}});
  if (service_ == nullptr) {
    loop_.Stop();
    return;
  }
  const auto now = core::SuspendAwareNow();
  service_->Drain(now + MaxDrainMs(settings_) - kSuccessionMs);
  client_server_->CloseAfterResponses();
  StopWhenIdle(now);
}

auto EntryProcess::IsDone() const -> bool {
  return client_server_->pending() == 0 &&
         service_->pending_peer_calls() == 0 && service_->HasLeft();
}

auto EntryProcess::StopWhenIdle(Millis draining_since) -> void {
  const auto elapsed = core::SuspendAwareNow() - draining_since;
  const auto max_drain = MaxDrainMs(settings_);
  const auto min_drain = std::min(kMinDrainMs, max_drain);
  if (elapsed >= max_drain - kAnswerMarginMs &&
      !std::exchange(has_closed_requests_, true)) {
    service_->CloseRequests();
  }
  if (elapsed >= max_drain || (elapsed >= min_drain && IsDone())) {
    core::LogEvent(core::Event::kDrained,
                   {{"after_ms", elapsed},
                    {"calls", client_server_->pending()},
                    {"peer_calls", service_->pending_peer_calls()}});
    loop_.Stop();
    return;
  }
  loop_.After(kIdleCheckMs,
              [this, draining_since] { StopWhenIdle(draining_since); });
}

}  // namespace kcm::entry
