#include "process/claims/claim_key.h"

#include <xxhash.h>

#include <cstdint>
#include <string>

std::size_t std::hash<marjoramsill::claim_key>::operator()(
    const marjoramsill::claim_key& key) const noexcept {
  const std::string& workspace = key.workspace.value();
  const std::uint64_t seed = XXH3_64bits(workspace.data(), workspace.size());
  const std::string& name = key.key.value();
  return XXH3_64bits_withSeed(name.data(), name.size(), seed);
}
