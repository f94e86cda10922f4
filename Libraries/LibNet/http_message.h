#pragma once

#include <map>
#include <string>
#include <string_view>

namespace kcm::net {

/// Header values by name; names are in lower case.
using HttpHeaders = std::map<std::string, std::string>;

/// An HTTP request, received or to be sent.
struct HttpRequest {
  std::string method;
  /// Path without the query, for example "/v1/jobs/job-12".
  std::string path;
  /// Decoded query arguments.
  std::map<std::string, std::string> query;
  HttpHeaders headers;
  std::string body;
  /// What the request is about, for TrafficMeter; not sent.
  std::string kind = {};

  /// @return the header's value, or an empty string.
  [[nodiscard]] auto header(const std::string& name) const -> std::string {
    const auto found = headers.find(name);
    return found == headers.end() ? "" : found->second;
  }

  /// @return the query argument's value, or `fallback`.
  [[nodiscard]] auto argument(const std::string& name,
                              const std::string& fallback) const
      -> std::string {
    const auto found = query.find(name);
    return found == query.end() ? fallback : found->second;
  }
};

/// A complete HTTP response.
struct HttpResponse {
  int status = 200;
  HttpHeaders headers;
  std::string body;

  /// @return the header's value, or an empty string.
  [[nodiscard]] auto header(const std::string& name) const -> std::string {
    const auto found = headers.find(name);
    return found == headers.end() ? "" : found->second;
  }
};

/// Decodes %XX sequences and plus signs of a URI part.
auto DecodeUri(std::string_view text) -> std::string;

/// Encodes a text as one segment of a URI path or query.
auto EncodeUri(std::string_view text) -> std::string;

}  // namespace kcm::net
