#pragma once

namespace kcm::net {

// HTTP status codes that the programs send or distinguish (RFC 9110, 429 and
// 431 from RFC 6585).
inline constexpr int kHttpOk = 200;
inline constexpr int kHttpAccepted = 202;
inline constexpr int kHttpBadRequest = 400;
inline constexpr int kHttpNotFound = 404;
inline constexpr int kHttpRequestTimeout = 408;
inline constexpr int kHttpConflict = 409;
inline constexpr int kHttpGone = 410;
inline constexpr int kHttpPreconditionFailed = 412;
inline constexpr int kHttpContentTooLarge = 413;
inline constexpr int kHttpExpectationFailed = 417;
inline constexpr int kHttpMisdirectedRequest = 421;
inline constexpr int kHttpTooManyRequests = 429;
inline constexpr int kHttpHeadTooLarge = 431;
inline constexpr int kHttpInternalError = 500;
inline constexpr int kHttpNotImplemented = 501;
inline constexpr int kHttpServiceUnavailable = 503;

}  // namespace kcm::net
