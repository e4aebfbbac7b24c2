#ifndef MARJORAMSILL_PROCESS_REPLICATION_MESSAGE_FIELDS_H_
#define MARJORAMSILL_PROCESS_REPLICATION_MESSAGE_FIELDS_H_

#include <cstdint>
#include <msgpack.hpp>
#include <optional>
#include <string>

#include "process/replication/group_configuration.h"
#include "process/replication/log_entry.h"
#include "process/replication/message_codec.h"

namespace marjoramsill {

using packer = msgpack::packer<msgpack::sbuffer>;

void PackText(packer& out, const std::string& text);
void PackBytes(packer& out, const std::string& bytes);
void PackConfiguration(packer& out, const group_configuration& configuration);
void PackEntry(packer& out, const log_entry& entry);

/// Reads the elements of a msgpack array in order. The first error is kept, and
/// every later read returns a default value. Extra elements at the end are
/// ignored, so that messages of newer versions can be decoded.
class raft_field_reader {
 public:
  raft_field_reader(const msgpack::object& array, const char* name,
                    const codec_limits& limits,
                    std::optional<codec_error>& error);

  std::uint64_t Number(const char* name);
  bool Flag(const char* name);
  std::string Text(const char* name);
  std::string Bytes(const char* name);
  /// Null after an error.
  const msgpack::object* Array(const char* name, std::size_t max_size);
  group_configuration Configuration(const char* name);
  log_entry Entry();

  template <class Strong>
  Strong NumberAs(const char* name) {
    return Strong(Number(name));
  }
  template <class Strong>
  Strong TextAs(const char* name) {
    return Strong(Text(name));
  }

  /// False if the sender's version ends the array here.
  bool HasMore() const;
  bool failed() const { return error_.has_value(); }
  void Fail(codec_error_kind kind, const char* name);
  const codec_limits& limits() const { return limits_; }
  std::optional<codec_error>& error() { return error_; }

 private:
  const msgpack::object* Next(const char* name);

  const msgpack::object* array_ = nullptr;
  std::uint32_t position_ = 0;
  const codec_limits& limits_;
  std::optional<codec_error>& error_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_REPLICATION_MESSAGE_FIELDS_H_
