#ifndef MARJORAMSILL_PROCESS_REPLICATION_MESSAGE_CODEC_H_
#define MARJORAMSILL_PROCESS_REPLICATION_MESSAGE_CODEC_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "process/replication/raft_message.h"
#include "types/result.h"

namespace marjoramsill {

/// A Raft message together with its group. The messages of several groups share
/// a bundle. All processes use the same group numbers; zero is the control
/// group.
struct group_message {
  std::uint32_t group = 0;
  raft_message message;

  friend bool operator==(const group_message&, const group_message&) = default;
};

enum class codec_error_kind {
  kTooLarge,
  kMalformed,
  kUnknownType,
  kOutOfRange,
};

struct codec_error {
  codec_error_kind kind = codec_error_kind::kMalformed;
  /// Name of the field or type that could not be decoded.
  std::string field;
};

/// Limits of one decoded bundle.
struct codec_limits {
  std::size_t max_bytes = std::size_t{4} * 1024 * 1024;
  std::size_t max_messages = 256;
  std::size_t max_entries = 4096;
  std::size_t max_members = 64;
  std::size_t max_depth = 8;
};

/// Encodes messages with equal `from` and `to` into one msgpack value:
/// [from vm, from disk, to vm, to disk, [[group, type, term, fields...], ...]].
std::string EncodeBundle(const std::vector<group_message>& messages);

result<std::vector<group_message>, codec_error> DecodeBundle(
    std::string_view bytes, const codec_limits& limits = {});

std::string EncodeConfiguration(const group_configuration& configuration);
result<group_configuration, codec_error> DecodeConfiguration(
    std::string_view bytes);

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_REPLICATION_MESSAGE_CODEC_H_
