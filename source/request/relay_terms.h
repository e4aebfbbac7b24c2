#ifndef MARJORAMSILL_REQUEST_RELAY_TERMS_H_
#define MARJORAMSILL_REQUEST_RELAY_TERMS_H_

#include <optional>
#include <string>
#include <string_view>

#include "process/directory/stream_origin.h"
#include "request/http_field.h"
#include "types/ids.h"

namespace marjoramsill {

/// What an entry VM adds to a request that it hands on to another one, because
/// it has no links to the endpoints itself, or no place at any of them.
struct relay_terms {
  /// Document by which the request was allowed; an older one must not decide.
  document_version document;
  /// Attempts of the request before. The VM that takes it may make all that the
  /// route allows beyond these.
  int sent = 0;
  /// Software that began the stream which the request goes on with, if any.
  std::optional<software_digest> software;

  friend bool operator==(const relay_terms&, const relay_terms&) = default;
};

/// Field of a request that is handed on, and of a response that refuses to take
/// it.
inline constexpr const char* kRelayField = "Marjoramsill-Relay";
/// Values of the field in a response. The VM takes no requests of others, and
/// has sent this one to no endpoint.
inline constexpr const char* kRelayUnavailable = "unavailable";
/// The VM has no place for a request to this pool, and has sent it to no
/// endpoint.
inline constexpr const char* kRelayFull = "full";

/// Value of the field in a request.
std::string EncodeRelayTerms(const relay_terms& terms);
/// Removes the first field with this name, which the sending VM has set, and
/// returns its terms; nothing if they are missing or malformed.
std::optional<relay_terms> TakeRelayTerms(http_field_list& fields);
/// Value of the field in a response of a VM that made attempts and returns the
/// request, which other VMs may be able to serve.
std::string EncodeRelayAttempts(int attempts);
/// Nothing if the value is another one.
std::optional<int> DecodeRelayAttempts(std::string_view value);

}  // namespace marjoramsill

#endif  // MARJORAMSILL_REQUEST_RELAY_TERMS_H_
