#include "LibNet/http_client.h"

#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <utility>

#include "LibCore/check.h"

namespace kcm::net {

namespace {

struct MethodType {
  std::string_view name;
  evhttp_cmd_type type;
};

constexpr std::array kMethodTypes = {
    MethodType{"GET", EVHTTP_REQ_GET},
    MethodType{"POST", EVHTTP_REQ_POST},
    MethodType{"PUT", EVHTTP_REQ_PUT},
    MethodType{"DELETE", EVHTTP_REQ_DELETE},
    MethodType{"PATCH", EVHTTP_REQ_PATCH},
};

auto CommandTypeOf(std::string_view method) -> evhttp_cmd_type {
  for (const auto& row : kMethodTypes) {
    if (row.name == method) {
      return row.type;
    }
  }
  return EVHTTP_REQ_GET;
}

auto TargetOf(const HttpRequest& request) -> std::string {
  std::string target = request.path;
  char separator = '?';
  for (const auto& [name, value] : request.query) {
    target += separator + EncodeUri(name) + "=" + EncodeUri(value);
    separator = '&';
  }
  return target;
}

/// evhttp checks that a length-delimited response is complete. One that ends
/// with the connection cannot be distinguished from a truncated one.
auto IsDelimited(evkeyvalq* headers) -> bool {
  return evhttp_find_header(headers, "Content-Length") != nullptr ||
         evhttp_find_header(headers, "Transfer-Encoding") != nullptr;
}

/// evhttp calls back with a null request when a connection broke, and with
/// response code 0 when no connection was established.
auto ExchangeOf(evhttp_request* request) -> Exchange {
  if (request == nullptr) {
    return Exchange::kBroken;
  }
  if (evhttp_request_get_response_code(request) == 0) {
    return Exchange::kNeverSent;
  }
  return IsDelimited(evhttp_request_get_input_headers(request))
             ? Exchange::kAnswered
             : Exchange::kBroken;
}

auto CopyResponse(evhttp_request* request) -> HttpResponse {
  HttpResponse response;
  response.status = evhttp_request_get_response_code(request);
  auto* headers = evhttp_request_get_input_headers(request);
  for (auto* pair = headers->tqh_first; pair != nullptr;
       pair = pair->next.tqe_next) {
    std::string name = pair->key;
    std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) {
      return static_cast<char>(std::tolower(c));
    });
    response.headers[name] = pair->value;
  }
  auto* buffer = evhttp_request_get_input_buffer(request);
  response.body.resize(evbuffer_get_length(buffer));
  evbuffer_copyout(buffer, response.body.data(), response.body.size());
  return response;
}

}  // namespace

struct HttpClient::Call {
  HttpClient& client;
  core::Address server;
  evhttp_connection* connection;
  std::string kind;
  Done done;
  bool timed_out = false;
};

HttpClient::~HttpClient() {
  for (auto& [server, connections] : idle_) {
    for (auto* connection : connections) {
      evhttp_connection_free(connection);
    }
  }
}

auto HttpClient::AcquireConnection(const core::Address& server)
    -> evhttp_connection* {
  auto& idle = idle_[server];
  if (!idle.empty()) {
    auto* connection = idle.back();
    idle.pop_back();
    --idle_connections_;
    return connection;
  }
  return evhttp_connection_base_new(loop_.base(), nullptr, server.host.c_str(),
                                    server.port);
}

auto HttpClient::Send(const core::Address& server,
                      const HttpRequest& request,
                      core::Millis timeout,
                      Done done) -> void {
  auto* connection = AcquireConnection(server);
  const timeval span{static_cast<time_t>(timeout / 1000),
                     static_cast<suseconds_t>((timeout % 1000) * 1000)};
  evhttp_connection_set_timeout_tv(connection, &span);
  auto call = std::make_unique<Call>(
      Call{*this, server, connection, request.kind, std::move(done)});
  if (meter_ != nullptr) {
    meter_->CountRequest(request.kind, request);
  }
  auto* outgoing = evhttp_request_new(OnResponse, call.release());
  evhttp_request_set_error_cb(outgoing,
                              [](evhttp_request_error error, void* argument) {
                                OnError(error, argument);
                              });
  auto* headers = evhttp_request_get_output_headers(outgoing);
  evhttp_add_header(headers, "Host", server.ToString().c_str());
  for (const auto& [name, value] : request.headers) {
    evhttp_add_header(headers, name.c_str(), value.c_str());
  }
  evbuffer_add(evhttp_request_get_output_buffer(outgoing), request.body.data(),
               request.body.size());
  // On failure evhttp has called OnResponse already or owns the request.
  evhttp_make_request(connection, outgoing, CommandTypeOf(request.method),
                      TargetOf(request).c_str());
}

auto HttpClient::OnResponse(evhttp_request* request, void* argument) -> void {
  const std::unique_ptr<Call> call(static_cast<Call*>(argument));
  call->client.FinishCall(*call, request);
}

auto HttpClient::OnError(int error, void* argument) -> void {
  static_cast<Call*>(argument)->timed_out = error == EVREQ_HTTP_TIMEOUT;
}

auto HttpClient::FinishCall(Call& call, evhttp_request* request) -> void {
  HttpResult result;
  result.exchange = ExchangeOf(request);
  result.ended_early = result.exchange == Exchange::kBroken && !call.timed_out;
  if (result.exchange == Exchange::kAnswered) {
    result.response = CopyResponse(request);
  }
  if (meter_ != nullptr) {
    meter_->CountResponse(call.kind, result.exchange == Exchange::kAnswered
                                         ? &result.response
                                         : nullptr);
  }
  auto& idle = idle_[call.server];
  auto* connection = call.connection;
  if (result.exchange == Exchange::kBroken) {
    // The fault has probably broken the idle connections too, and each would
    // cost a later request a full timeout.
    idle_connections_ -= idle.size();
    for (auto* other : std::exchange(idle, {})) {
      evhttp_connection_free(other);
    }
  }
  if (result.exchange == Exchange::kAnswered &&
      idle.size() < max_idle_per_server_ && idle_connections_ < max_idle_) {
    idle.push_back(connection);
    ++idle_connections_;
  } else {
    // evhttp uses the connection until this callback returns.
    loop_.After(0, [connection] { evhttp_connection_free(connection); });
  }
  call.done(std::move(result));
}

}  // namespace kcm::net
