#ifndef MARJORAMSILL_PROCESS_CLAIMS_CLAIM_TYPES_H_
#define MARJORAMSILL_PROCESS_CLAIMS_CLAIM_TYPES_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "types/ids.h"

namespace marjoramsill {

/// Milliseconds of a claim group's own time: the steady time that its leaders
/// have counted, see claim_group_clock. No wall clock is involved, so a VM
/// whose date is wrong cannot make claims expire.
using claim_time = strong_number<struct claim_time_tag>;

/// Bounds of every field of a claim; longer ones are refused by the decoders.
inline constexpr std::size_t kMaxClaimNameBytes = 255;
inline constexpr std::size_t kMaxStoredBodyBytes = std::size_t{64} * 1024;
inline constexpr std::size_t kMaxStoredHeaders = 16;
inline constexpr std::size_t kMaxStoredHeaderBytes = 1024;
inline constexpr std::chrono::milliseconds kMaxClaimDeadline =
    std::chrono::hours(1);
inline constexpr std::chrono::milliseconds kDefaultClaimRetention =
    std::chrono::hours(24);

struct claim_key {
  workspace_id workspace;
  idempotency_key key;

  friend bool operator==(const claim_key&, const claim_key&) = default;
  friend bool operator<(const claim_key& left, const claim_key& right) {
    return std::tie(left.workspace, left.key) <
           std::tie(right.workspace, right.key);
  }
};

/// 128 bits of XXH3. A caller that constructs a collision harms only its own
/// key, so that a cryptographic hash is not needed.
struct content_hash {
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  friend bool operator==(const content_hash&, const content_hash&) = default;
};

/// The one request that holds a claim. The serial number distinguishes two
/// requests with the same key on one VM; it increases within an incarnation.
struct claim_owner {
  vm_id vm;
  incarnation life;
  std::uint64_t serial = 0;

  friend bool operator==(const claim_owner&, const claim_owner&) = default;
};

enum class claim_state : std::uint8_t {
  kClaimed,
  kFinished,
  kReleased,
  kUnknown,
};

using http_fields = std::vector<std::pair<std::string, std::string>>;

/// Response as kept for repeats. `body` is empty and `body_kept` false when the
/// body is over kMaxStoredBodyBytes or the group's body budget is used up.
struct stored_response {
  std::uint16_t status = 0;
  http_fields headers;
  std::string body;
  bool body_kept = true;
  std::uint64_t body_size = 0;
  content_hash body_hash;

  friend bool operator==(const stored_response&,
                         const stored_response&) = default;
};

content_hash HashContent(const std::string& content);

/// Drops the body but keeps its size and hash.
void DropBody(stored_response& response);

}  // namespace marjoramsill

template <>
struct std::hash<marjoramsill::claim_key> {
  std::size_t operator()(const marjoramsill::claim_key& key) const noexcept;
};

#endif  // MARJORAMSILL_PROCESS_CLAIMS_CLAIM_TYPES_H_
