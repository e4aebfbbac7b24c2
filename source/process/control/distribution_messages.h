#ifndef MARJORAMSILL_PROCESS_CONTROL_DISTRIBUTION_MESSAGES_H_
#define MARJORAMSILL_PROCESS_CONTROL_DISTRIBUTION_MESSAGES_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "process/control/change_push.h"
#include "process/control/fetch_request.h"
#include "process/control/fetch_response.h"
#include "types/result.h"
#include "version/section_record.h"
#include "version/wire_error.h"

namespace marjoramsill {

/// Limits of one message: records, names, and bytes of section content. The
/// first record of a response may exceed the byte limit.
inline constexpr std::size_t kMaxRecords = 64;
inline constexpr std::size_t kMaxNames = 16;
inline constexpr std::size_t kMaxResponseBytes = 8192;

/// msgpack encoding of the messages of the policy distribution.
std::string EncodePush(const change_push& push);
result<change_push, wire_error> DecodePush(std::string_view bytes);
std::string EncodeFetch(const fetch_request& request);
result<fetch_request, wire_error> DecodeFetch(std::string_view bytes);
std::string EncodeFetchResponse(const fetch_response& response);
result<fetch_response, wire_error> DecodeFetchResponse(std::string_view bytes);

/// Approximate encoded size in bytes, charged to the byte rate.
std::int64_t EncodedSize(const section_record& record);
std::int64_t EncodedSize(const fetch_response& response);

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_CONTROL_DISTRIBUTION_MESSAGES_H_
