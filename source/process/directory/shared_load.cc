#include "process/directory/shared_load.h"

#include <xxhash.h>

#include <cstdint>
#include <string>

namespace marjoramsill {

endpoint_digest DigestOf(const endpoint_id& endpoint) {
  const std::string& id = endpoint.value();
  const XXH64_hash_t hash = XXH3_64bits(id.data(), id.size());
  return endpoint_digest(static_cast<std::uint32_t>(hash));
}

}  // namespace marjoramsill
