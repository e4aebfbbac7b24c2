#ifndef MARJORAMSILL_PROCESS_CONTROL_DISTRIBUTION_MESSAGES_H_
#define MARJORAMSILL_PROCESS_CONTROL_DISTRIBUTION_MESSAGES_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "types/ids.h"
#include "types/result.h"
#include "version/section_record.h"
#include "version/wire_error.h"

namespace marjoramsill {

/// `policy/changes`: one accepted change on its way down the relay tree of
/// `root`. Its version is the document version that it makes.
struct change_push {
  vm_id root;
  section_ptr record;
};

enum class fetch_scope {
  /// All sections changed after a version.
  kChanges,
  /// Sections other than workspaces, for a VM that holds nothing.
  kBase,
  /// Workspace sections in (after, until].
  kWorkspaces,
  /// Sections by name.
  kNamed
};

/// `policy/fetch`, request.
struct fetch_request {
  /// Chosen by the requester; the reply repeats it.
  std::uint64_t id = 0;
  fetch_scope scope = fetch_scope::kChanges;
  section_version after;
  section_version until;
  std::vector<section_name> names;

  friend bool operator==(const fetch_request&, const fetch_request&) = default;
};

enum class fetch_status {
  kOk,
  /// The peer does not hold all of what was asked for.
  kIncomplete,
  /// The peer has spent its byte rate.
  kBusy
};

/// `policy/fetch`, response. All sections of the scope with versions after the
/// request's `after` and up to `through` are in `records`, as of `version`.
struct fetch_reply {
  std::uint64_t id = 0;
  fetch_status status = fetch_status::kOk;
  document_version version;
  section_version through;
  std::vector<section_ptr> records;
};

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
