#ifndef MARJORAMSILL_PROCESS_CONTROL_DISTRIBUTION_MESSAGES_H_
#define MARJORAMSILL_PROCESS_CONTROL_DISTRIBUTION_MESSAGES_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "process/control/change_push.h"
#include "process/control/fetch_reply.h"
#include "process/control/fetch_request.h"
#include "types/result.h"
#include "version/section_record.h"
#include "version/wire_error.h"

namespace marjoramsill {

/// Bounds of one message: records, names, and content bytes of a reply beyond
/// its first record.
inline constexpr std::size_t kMostRecords = 64;
inline constexpr std::size_t kMostNames = 16;
inline constexpr std::size_t kMostReplyBytes = 8192;

std::string EncodePush(const change_push& push);
result<change_push, wire_error> DecodePush(std::string_view bytes);
std::string EncodeFetch(const fetch_request& request);
result<fetch_request, wire_error> DecodeFetch(std::string_view bytes);
std::string EncodeReply(const fetch_reply& reply);
result<fetch_reply, wire_error> DecodeReply(std::string_view bytes);

/// About the encoded size, for the byte rate.
std::int64_t SizeOf(const section_record& record);
std::int64_t SizeOf(const fetch_reply& reply);

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_CONTROL_DISTRIBUTION_MESSAGES_H_
