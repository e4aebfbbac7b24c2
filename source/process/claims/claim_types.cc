#include "process/claims/claim_types.h"

#include <xxhash.h>

namespace marjoramsill {

content_hash HashContent(const std::string& content) {
  const XXH128_hash_t hash = XXH3_128bits(content.data(), content.size());
  return {hash.high64, hash.low64};
}

void DropBody(stored_response& response) {
  response.body.clear();
  response.body.shrink_to_fit();
  response.body_kept = false;
}

}  // namespace marjoramsill

std::size_t std::hash<marjoramsill::claim_key>::operator()(
    const marjoramsill::claim_key& key) const noexcept {
  const std::string& workspace = key.workspace.value();
  const std::uint64_t seed = XXH3_64bits(workspace.data(), workspace.size());
  const std::string& name = key.key.value();
  return XXH3_64bits_withSeed(name.data(), name.size(), seed);
}
