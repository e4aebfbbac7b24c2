#ifndef MARJORAMSILL_VERSION_WIRE_ERROR_H_
#define MARJORAMSILL_VERSION_WIRE_ERROR_H_

#include <string>

namespace marjoramsill {

enum class wire_error_kind {
  /// Not msgpack, truncated, or followed by more bytes.
  kMalformed,
  /// More bytes, entries or nested levels than allowed.
  kTooLarge,
  kMissingField,
  kWrongType,
  /// The type is right, but the value is not allowed for the field.
  kOutOfRange
};

/// Why bytes from a peer or a log were rejected, and the field concerned.
struct wire_error {
  wire_error_kind kind = wire_error_kind::kMalformed;
  std::string field;

  friend bool operator==(const wire_error&, const wire_error&) = default;
};

std::string Describe(const wire_error& error);

}  // namespace marjoramsill

#endif  // MARJORAMSILL_VERSION_WIRE_ERROR_H_
