#ifndef MARJORAMSILL_REQUEST_HTTP_STATUS_H_
#define MARJORAMSILL_REQUEST_HTTP_STATUS_H_

namespace marjoramsill {

// Status codes of RFC 9110 section 15 and RFC 6585.
inline constexpr int kStatusOk = 200;
inline constexpr int kStatusNoContent = 204;
inline constexpr int kStatusNotModified = 304;
inline constexpr int kStatusBadRequest = 400;
inline constexpr int kStatusUnauthorized = 401;
inline constexpr int kStatusNotFound = 404;
inline constexpr int kStatusRequestTimeout = 408;
inline constexpr int kStatusContentTooLarge = 413;
inline constexpr int kStatusMisdirected = 421;
inline constexpr int kStatusTooManyRequests = 429;
inline constexpr int kStatusFieldsTooLarge = 431;
inline constexpr int kStatusBadGateway = 502;
inline constexpr int kStatusUnavailable = 503;
inline constexpr int kStatusGatewayTimeout = 504;

inline bool IsSuccessStatus(int status) {
  return status >= 200 && status < 300;
}
inline bool IsClientError(int status) { return status >= 400 && status < 500; }
inline bool IsServerError(int status) { return status >= 500; }

}  // namespace marjoramsill

#endif  // MARJORAMSILL_REQUEST_HTTP_STATUS_H_
