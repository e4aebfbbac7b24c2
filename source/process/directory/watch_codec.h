#ifndef MARJORAMSILL_PROCESS_DIRECTORY_WATCH_CODEC_H_
#define MARJORAMSILL_PROCESS_DIRECTORY_WATCH_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "process/directory/watch_reply.h"
#include "process/directory/watch_request.h"

namespace marjoramsill {

// Messages as msgpack arrays. Decoding gives nothing for bytes that are not
// such a message.

std::string EncodeWatchRequest(const watch_request& request);
std::optional<watch_request> DecodeWatchRequest(std::string_view bytes);

std::string EncodeWatchReply(const watch_reply& reply);
std::optional<watch_reply> DecodeWatchReply(std::string_view bytes);

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_DIRECTORY_WATCH_CODEC_H_
