#ifndef MARJORAMSILL_VERSION_WIRE_READER_H_
#define MARJORAMSILL_VERSION_WIRE_READER_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "types/result.h"
#include "version/wire_error.h"

namespace marjoramsill {

/// Keeps the first error of a message.
class wire_report {
 public:
  void Fail(wire_error_kind kind, const std::string& field) {
    if (!error_) error_ = wire_error{kind, field};
  }
  bool ok() const { return !error_.has_value(); }
  const wire_error& error() const { return *error_; }

 private:
  std::optional<wire_error> error_;
};

/// Reads the fields of one msgpack array in order. Further fields are ignored,
/// so that newer senders can append fields. After an error every field reads as
/// zero or empty, and the report contains the error.
class wire_reader {
 public:
  wire_reader(const msgpack::object* array, const std::string& name,
              wire_report& report);

  std::uint64_t Number(const std::string& name,
                       std::uint64_t max_value = UINT64_MAX);
  bool Boolean(const std::string& name);
  /// UTF-8 without control characters other than tab and line ends.
  std::string Text(const std::string& name, std::size_t max_bytes);
  std::string_view Bytes(const std::string& name, std::size_t max_bytes);
  /// Exactly `size` bytes, copied to `target`.
  void Fixed(const std::string& name, std::uint8_t* target, std::size_t size);
  wire_reader Array(const std::string& name, std::size_t max_entries);
  /// Number of entries that have not been read.
  std::size_t remaining() const { return ok() ? size_ - next_ : 0; }
  bool ok() const { return report_.ok(); }

 private:
  const msgpack::object* Next(const std::string& name,
                              msgpack::type::object_type type);

  const msgpack::object* array_;
  std::size_t size_ = 0;
  std::size_t next_ = 0;
  wire_report& report_;
};

/// Limits of one message: its size in bytes, and the number of entries of each
/// array.
struct wire_limits {
  std::size_t bytes = 0;
  std::size_t entries = 0;
};

/// A decoded message. Its text and byte fields refer to the bytes passed to
/// `Open`, which must outlive the message.
class wire_message {
 public:
  static constexpr std::size_t kMaxLevels = 6;

  static result<wire_message, wire_error> Open(std::string_view bytes,
                                               const wire_limits& limits);
  const msgpack::object* root() const { return &handle_->get(); }

 private:
  std::shared_ptr<msgpack::object_handle> handle_;
};

using wire_packer = msgpack::packer<msgpack::sbuffer>;

void PackText(wire_packer& packer, std::string_view text);
void PackBytes(wire_packer& packer, std::string_view bytes);
void PackBytes(wire_packer& packer, const std::uint8_t* data, std::size_t size);

}  // namespace marjoramsill

#endif  // MARJORAMSILL_VERSION_WIRE_READER_H_
