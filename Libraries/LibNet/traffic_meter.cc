#include "LibNet/traffic_meter.h"

#include <string_view>

namespace kcm::net {

namespace {

constexpr std::string_view kVersion = " HTTP/1.1\r\n";
constexpr std::string_view kStatusLine = "HTTP/1.1 200 OK\r\n\r\n";
/// Host and Content-Length, which the HTTP library adds.
constexpr std::string_view kAddedHeaders =
    "Host: 10.1.0.19:8526\r\nContent-Length: 1000\r\n\r\n";

auto SizeOf(const HttpHeaders& headers) -> std::size_t {
  constexpr std::string_view kSeparators = ": \r\n";
  std::size_t size = 0;
  for (const auto& [name, value] : headers) {
    size += name.size() + value.size() + kSeparators.size();
  }
  return size;
}

auto SizeOf(const HttpRequest& request) -> std::int64_t {
  auto size = request.method.size() + 1 + request.path.size() +
              kVersion.size() + kAddedHeaders.size() + SizeOf(request.headers) +
              request.body.size();
  for (const auto& [name, value] : request.query) {
    size += name.size() + value.size() + 2;
  }
  return static_cast<std::int64_t>(size);
}

auto SizeOf(const HttpResponse& response) -> std::int64_t {
  return static_cast<std::int64_t>(
      kStatusLine.size() + SizeOf(response.headers) + response.body.size());
}

}  // namespace

auto TrafficMeter::CountRequest(const std::string& kind,
                                const HttpRequest& sent) -> void {
  auto& count = counts_[kind];
  ++count.exchanges;
  count.sent_bytes += SizeOf(sent);
}

auto TrafficMeter::CountResponse(const std::string& kind,
                                 const HttpResponse* received) -> void {
  if (received != nullptr) {
    counts_[kind].received_bytes += SizeOf(*received);
  }
}

auto TrafficMeter::CountServed(const std::string& kind,
                               const HttpRequest& request,
                               const HttpReply& reply) -> void {
  auto& count = counts_[kind];
  ++count.exchanges;
  count.received_bytes += SizeOf(request);
  reply.SetResponseListener([this, kind](const HttpResponse& response) {
    counts_[kind].sent_bytes += SizeOf(response);
  });
}

}  // namespace kcm::net
