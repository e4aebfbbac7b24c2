#include "process/claims/content_hash.h"

#include <xxhash.h>

namespace marjoramsill {

content_hash HashContent(const std::string& content) {
  const XXH128_hash_t hash = XXH3_128bits(content.data(), content.size());
  return {hash.high64, hash.low64};
}

}  // namespace marjoramsill
