#include "LibNet/http_server.h"
#include "LibNet/http_status.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <event2/listener.h>
#include <netinet/in.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <utility>

#include "LibCore/json_decode.h"

namespace kcm::net {

namespace {

constexpr int kListenBacklog = 1024;

struct MethodName {
  evhttp_cmd_type method;
  std::string_view name;
};

constexpr std::array kMethodNames = {
    MethodName{EVHTTP_REQ_GET, "GET"},
    MethodName{EVHTTP_REQ_HEAD, "HEAD"},
    MethodName{EVHTTP_REQ_POST, "POST"},
    MethodName{EVHTTP_REQ_PUT, "PUT"},
    MethodName{EVHTTP_REQ_DELETE, "DELETE"},
    MethodName{EVHTTP_REQ_PATCH, "PATCH"},
};

auto MethodNameOf(evhttp_cmd_type method) -> std::string {
  for (const auto& row : kMethodNames) {
    if (row.method == method) {
      return std::string(row.name);
    }
  }
  return "OTHER";
}

auto AllMethods() -> ev_uint16_t {
  unsigned methods = 0;
  for (const auto& row : kMethodNames) {
    methods |= static_cast<unsigned>(row.method);
  }
  return static_cast<ev_uint16_t>(methods);
}

auto ToLower(std::string text) -> std::string {
  std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return text;
}

/// Moves the body out of a buffer, so that it is held once.
auto TakeBody(evbuffer* buffer) -> std::string {
  std::string body(evbuffer_get_length(buffer), '\0');
  evbuffer_remove(buffer, body.data(), body.size());
  return body;
}

auto QueryOf(const evhttp_uri* uri) -> std::map<std::string, std::string> {
  std::map<std::string, std::string> query;
  const auto* text = uri == nullptr ? nullptr : evhttp_uri_get_query(uri);
  std::string_view rest = text == nullptr ? "" : text;
  while (!rest.empty()) {
    const auto pair = rest.substr(0, rest.find('&'));
    rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
    const auto name = pair.substr(0, pair.find('='));
    const auto value = pair.substr(std::min(pair.size(), name.size() + 1));
    query[DecodeUri(name)] = DecodeUri(value);
  }
  return query;
}

auto ToRequest(evhttp_request* source) -> HttpRequest {
  HttpRequest request;
  request.method = MethodNameOf(evhttp_request_get_command(source));
  const auto* uri = evhttp_request_get_evhttp_uri(source);
  const auto* path = uri == nullptr ? nullptr : evhttp_uri_get_path(uri);
  request.path = path == nullptr ? "" : DecodeUri(path);
  request.query = QueryOf(uri);
  auto* headers = evhttp_request_get_input_headers(source);
  for (auto* pair = headers->tqh_first; pair != nullptr;
       pair = pair->next.tqe_next) {
    request.headers[ToLower(pair->key)] = pair->value;
  }
  request.body = TakeBody(evhttp_request_get_input_buffer(source));
  return request;
}

auto OnRequest(evhttp_request* request, void* argument) -> void {
  static_cast<HttpServer*>(argument)->Dispatch(request);
}

}  // namespace

namespace {

/// Counts a request as pending while it exists: until the response is written
/// or the connection has ended.
class PendingRequest {
 public:
  explicit PendingRequest(std::shared_ptr<HttpServer::Shared> server)
      : server_(std::move(server)) {
    ++server_->pending;
  }
  ~PendingRequest() { --server_->pending; }
  PendingRequest(const PendingRequest&) = delete;
  auto operator=(const PendingRequest&) -> PendingRequest& = delete;

 private:
  std::shared_ptr<HttpServer::Shared> server_;
};

/// Keeps a request pending until its response is written.
auto ReleaseOnceWritten(evhttp_request* request,
                        ConnectionGuard& guard,
                        std::unique_ptr<PendingRequest> pending) -> void {
  guard.KeepUntilWritten(request,
                         {pending.release(), [](void* released) {
                            delete static_cast<PendingRequest*>(released);
                          }});
}

}  // namespace

struct HttpReply::State {
  /// Null once answered. evhttp keeps the request until then, even when the
  /// client disconnects.
  evhttp_request* request = nullptr;
  std::shared_ptr<HttpServer::Shared> server;
  std::unique_ptr<PendingRequest> pending;
  std::optional<HandledBytes> held;
  std::function<void(const HttpResponse&)> listener;

  State(evhttp_request* open_request,
        const std::shared_ptr<HttpServer::Shared>& open_server,
        HandledBytes held_bytes)
      : request(open_request),
        server(open_server),
        pending(std::make_unique<PendingRequest>(open_server)),
        held(std::move(held_bytes)) {}
  ~State() {
    if (request != nullptr && server->alive) {
      ReleaseOnceWritten(request, *server->guard, std::move(pending));
      evhttp_send_error(request, kHttpInternalError, nullptr);
    }
  }
  State(const State&) = delete;
  auto operator=(const State&) -> State& = delete;
};

auto HttpReply::SetResponseListener(
    std::function<void(const HttpResponse&)> listener) const -> void {
  state_->listener = std::move(listener);
}

auto HttpReply::Send(const HttpResponse& response) const -> void {
  if (const auto listener = std::exchange(state_->listener, nullptr)) {
    listener(response);
  }
  auto* request = std::exchange(state_->request, nullptr);
  state_->held.reset();
  if (request == nullptr || !state_->server->alive) {
    state_->pending.reset();
    return;
  }
  auto* headers = evhttp_request_get_output_headers(request);
  for (const auto& [name, value] : response.headers) {
    evhttp_add_header(headers, name.c_str(), value.c_str());
  }
  if (state_->server->closing) {
    evhttp_add_header(headers, "Connection", "close");
  }
  ReleaseOnceWritten(request, *state_->server->guard,
                     std::move(state_->pending));
  auto* body = evbuffer_new();
  evbuffer_add(body, response.body.data(), response.body.size());
  evhttp_send_reply(request, response.status, nullptr, body);
  evbuffer_free(body);
}

auto HttpReply::SendJson(int status, const core::Json& document) const -> void {
  Send({status,
        {{"content-type", "application/json"}},
        core::ToJsonText(document) + "\n"});
}

auto HttpReply::SendError(const core::Reason& reason) const -> void {
  SendJson(core::ErrorInfoOf(reason.kind).http_status,
           core::ToErrorBody(reason));
}

auto HttpServer::create(EventLoop& loop,
                        const core::Address& address,
                        Handler handler,
                        core::Reason& reason,
                        const HttpLimits& limits,
                        std::shared_ptr<ConnectionTable> table)
    -> std::unique_ptr<HttpServer> {
  sockaddr_in target{};
  target.sin_family = AF_INET;
  target.sin_port = htons(address.port);
  auto* listener =
      inet_pton(AF_INET, address.host.c_str(), &target.sin_addr) == 1
          ? evconnlistener_new_bind(loop.base(), nullptr, nullptr,
                                    LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC |
                                        LEV_OPT_CLOSE_ON_FREE,
                                    kListenBacklog,
                                    reinterpret_cast<sockaddr*>(&target),
                                    sizeof(target))
          : nullptr;
  if (listener == nullptr) {
    reason = {core::ErrorKind::kBadInput, "address",
              "Cannot listen on " + address.ToString() + "."};
    return nullptr;
  }
  auto* server = evhttp_new(loop.base());
  evhttp_set_allowed_methods(server, AllMethods());
  if (table == nullptr) {
    table = std::make_shared<ConnectionTable>(MakeConnectionBounds(0, 0));
  }
  auto guard = std::make_unique<ConnectionGuard>(loop.base(), server,
                                                 std::move(table), limits);
  auto* socket = evhttp_bind_listener(server, listener);
  guard->set_socket(socket);
  return std::unique_ptr<HttpServer>(
      new HttpServer(server, socket, std::move(guard), std::move(handler)));
}

HttpServer::HttpServer(evhttp* server,
                       evhttp_bound_socket* socket,
                       std::unique_ptr<ConnectionGuard> guard,
                       Handler handler)
    : server_(server), socket_(socket), handler_(std::move(handler)) {
  shared_->guard = std::move(guard);
  evhttp_set_gencb(server_, OnRequest, this);
}

HttpServer::~HttpServer() {
  StopListening();
  shared_->alive = false;
  evhttp_free(server_);
  shared_->guard.reset();
}

auto HttpServer::StopListening() -> void {
  shared_->closing = true;
  if (auto* socket = std::exchange(socket_, nullptr)) {
    shared_->guard->set_socket(nullptr);
    evhttp_del_accept_socket(server_, socket);
  }
}

auto HttpServer::Dispatch(evhttp_request* request) -> void {
  auto held = shared_->guard->OnRequest(request);
  if (!held) {
    // Refused while evhttp was reading it; the connection is about to close.
    evhttp_send_error(request, kHttpServiceUnavailable, nullptr);
    return;
  }
  auto state =
      std::make_shared<HttpReply::State>(request, shared_, std::move(*held));
  handler_(ToRequest(request), HttpReply(std::move(state)));
}

}  // namespace kcm::net
