#ifndef MARJORAMSILL_PROCESS_CLAIMS_CONTENT_HASH_H_
#define MARJORAMSILL_PROCESS_CLAIMS_CONTENT_HASH_H_

#include <cstdint>
#include <string>

namespace marjoramsill {

/// 128-bit XXH3 hash. A cryptographic hash is not needed, because a caller that
/// constructs a collision affects only its own key.
struct content_hash {
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  friend bool operator==(const content_hash&, const content_hash&) = default;
};

content_hash HashContent(const std::string& content);

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_CLAIMS_CONTENT_HASH_H_
