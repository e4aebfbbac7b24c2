#include "process/membership/holder_hash.h"

#include <xxhash.h>

namespace marjoramsill {

std::uint64_t HashPair(std::string_view text, std::uint64_t number) {
  return XXH3_64bits_withSeed(text.data(), text.size(), number);
}

}  // namespace marjoramsill
