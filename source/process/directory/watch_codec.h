#ifndef MARJORAMSILL_PROCESS_DIRECTORY_WATCH_CODEC_H_
#define MARJORAMSILL_PROCESS_DIRECTORY_WATCH_CODEC_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "process/directory/content_fault.h"
#include "process/directory/endpoint_record.h"
#include "process/directory/watch_request.h"
#include "process/directory/watch_response.h"

namespace marjoramsill {

// Encodes watch messages as msgpack arrays. Decoding returns nothing for bytes
// that are not a valid message.

std::string EncodeWatchRequest(const watch_request& request);
std::optional<watch_request> DecodeWatchRequest(std::string_view bytes);

std::string EncodeWatchResponse(const watch_response& response);
std::optional<watch_response> DecodeWatchResponse(std::string_view bytes);

/// Records alone, as a control process stores them.
std::string EncodeEndpointRecords(const std::vector<endpoint_record>& records);
std::optional<std::vector<endpoint_record>> DecodeEndpointRecords(
    std::string_view bytes);

/// Part faults that are sent at once, without a watch request.
std::string EncodeContentFaults(const std::vector<content_fault>& faults);
std::optional<std::vector<content_fault>> DecodeContentFaults(
    std::string_view bytes);

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_DIRECTORY_WATCH_CODEC_H_
