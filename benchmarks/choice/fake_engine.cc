#include "fake_engine.h"

#include <algorithm>

namespace marjoramsill {

std::uint32_t fake_engine::Cached(const engine_request& request) const {
  const std::uint32_t cached =
      std::max(cache.Find(request.chat), cache.Find(request.workspace));
  return std::min(cached, request.prompt_tokens);
}

}  // namespace marjoramsill
