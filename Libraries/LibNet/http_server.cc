#include "LibNet/http_server.h"

#include <event2/buffer.h>
#include <evhtp/evhtp.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <utility>

namespace kcm::net {

namespace {

constexpr std::uint64_t kMaxBodyBytes = 8ULL * 1024 * 1024;
constexpr int kListenBacklog = 1024;

struct MethodName {
  htp_method method;
  std::string_view name;
};

constexpr std::array kMethodNames = {
    MethodName{htp_method_GET, "GET"},
    MethodName{htp_method_HEAD, "HEAD"},
    MethodName{htp_method_POST, "POST"},
    MethodName{htp_method_PUT, "PUT"},
    MethodName{htp_method_DELETE, "DELETE"},
    MethodName{htp_method_PATCH, "PATCH"},
};

auto NameOf(htp_method method) -> std::string {
  for (const auto& row : kMethodNames) {
    if (row.method == method) {
      return std::string(row.name);
    }
  }
  return "OTHER";
}

auto ToLower(std::string text) -> std::string {
  std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return text;
}

auto CopyHeader(evhtp_kv_t* pair, void* argument) -> int {
  auto& headers = *static_cast<HttpHeaders*>(argument);
  headers[ToLower({pair->key, pair->klen})] = {pair->val, pair->vlen};
  return 0;
}

auto CopyArgument(evhtp_kv_t* pair, void* argument) -> int {
  auto& query = *static_cast<std::map<std::string, std::string>*>(argument);
  query[DecodeUri({pair->key, pair->klen})] =
      pair->val == nullptr ? "" : DecodeUri({pair->val, pair->vlen});
  return 0;
}

auto BodyOf(evbuffer* buffer) -> std::string {
  std::string body(evbuffer_get_length(buffer), '\0');
  evbuffer_copyout(buffer, body.data(), body.size());
  return body;
}

auto ToRequest(evhtp_request_t* source) -> HttpRequest {
  HttpRequest request;
  request.method = NameOf(source->method);
  if (source->uri != nullptr && source->uri->path != nullptr) {
    request.path = DecodeUri(source->uri->path->full);
  }
  if (source->uri != nullptr && source->uri->query != nullptr) {
    evhtp_kvs_for_each(source->uri->query, CopyArgument, &request.query);
  }
  evhtp_kvs_for_each(source->headers_in, CopyHeader, &request.headers);
  request.body = BodyOf(source->buffer_in);
  return request;
}

auto OnRequest(evhtp_request_t* request, void* argument) -> void {
  static_cast<HttpServer*>(argument)->Dispatch(request);
}

}  // namespace

struct HttpReply::State {
  /// Null once answered or once libevhtp has freed the request.
  evhtp_request_t* request = nullptr;
  std::shared_ptr<int> pending;
  std::function<void(const HttpAnswer&)> listener;
  std::shared_ptr<bool> closing;

  State(evhtp_request_t* open_request,
        std::shared_ptr<int> open_count,
        std::shared_ptr<bool> server_closing)
      : request(open_request),
        pending(std::move(open_count)),
        closing(std::move(server_closing)) {
    ++*pending;
  }
  ~State() { --*pending; }
  State(const State&) = delete;
  auto operator=(const State&) -> State& = delete;
};

namespace {

/// libevhtp keeps hooks of every signature under one type.
auto ToHook(auto(*hook)(evhtp_request_t*, void*)->evhtp_res) -> evhtp_hook {
  return reinterpret_cast<evhtp_hook>(reinterpret_cast<void (*)()>(hook));
}

/// Runs when libevhtp frees a request, answered or not.
auto OnRequestFreed(evhtp_request_t* /*request*/, void* argument) -> evhtp_res {
  const std::unique_ptr<std::shared_ptr<HttpReply::State>> state(
      static_cast<std::shared_ptr<HttpReply::State>*>(argument));
  (*state)->request = nullptr;
  return EVHTP_RES_OK;
}

}  // namespace

auto HttpReply::OnAnswered(
    std::function<void(const HttpAnswer&)> listener) const -> void {
  state_->listener = std::move(listener);
}

auto HttpReply::Send(const HttpAnswer& answer) const -> void {
  if (const auto listener = std::exchange(state_->listener, nullptr)) {
    listener(answer);
  }
  if (state_->request == nullptr) {
    return;
  }
  auto* request = std::exchange(state_->request, nullptr);
  for (const auto& [name, value] : answer.headers) {
    evhtp_headers_add_header(
        request->headers_out,
        evhtp_header_new(name.c_str(), value.c_str(), 1, 1));
  }
  if (*state_->closing) {
    evhtp_headers_add_header(request->headers_out,
                             evhtp_header_new("Connection", "close", 0, 0));
    evhtp_request_set_keepalive(request, 0);
  }
  evbuffer_add(request->buffer_out, answer.body.data(), answer.body.size());
  evhtp_send_reply(request, static_cast<evhtp_res>(answer.status));
  evhtp_request_resume(request);
}

auto HttpReply::SendJson(int status, const core::Json& document) const -> void {
  Send(
      {status, {{"content-type", "application/json"}}, document.dump() + "\n"});
}

auto HttpReply::SendError(const core::Reason& reason) const -> void {
  SendJson(core::AnswerOf(reason.kind).http_status, core::ToErrorBody(reason));
}

auto HttpServer::create(EventLoop& loop,
                        const core::Address& address,
                        Handler handler,
                        core::Reason& reason) -> std::unique_ptr<HttpServer> {
  evhtp_t* server = evhtp_new(loop.base(), nullptr);
  evhtp_set_max_body_size(server, kMaxBodyBytes);
  if (evhtp_bind_socket(server, address.host.c_str(), address.port,
                        kListenBacklog) != 0) {
    evhtp_free(server);
    reason = {core::ErrorKind::kBadInput, "address",
              "Cannot listen on " + address.ToString() + "."};
    return nullptr;
  }
  return std::unique_ptr<HttpServer>(
      new HttpServer(server, std::move(handler)));
}

HttpServer::HttpServer(evhtp* server, Handler handler)
    : server_(server), handler_(std::move(handler)) {
  evhtp_set_gencb(server_, OnRequest, this);
}

HttpServer::~HttpServer() {
  StopListening();
  evhtp_free(server_);
}

auto HttpServer::StopListening() -> void {
  *closing_ = true;
  if (std::exchange(listening_, false)) {
    evhtp_unbind_socket(server_);
  }
}

auto HttpServer::Dispatch(evhtp_request* request) -> void {
  auto state = std::make_shared<HttpReply::State>(request, pending_, closing_);
  auto hook = std::make_unique<std::shared_ptr<HttpReply::State>>(state);
  evhtp_request_set_hook(request, evhtp_hook_on_request_fini,
                         ToHook(OnRequestFreed), hook.release());
  evhtp_request_pause(request);
  handler_(ToRequest(request), HttpReply(std::move(state)));
}

}  // namespace kcm::net
