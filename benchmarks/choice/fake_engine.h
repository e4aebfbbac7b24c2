#ifndef MARJORAMSILL_BENCHMARKS_CHOICE_FAKE_ENGINE_H_
#define MARJORAMSILL_BENCHMARKS_CHOICE_FAKE_ENGINE_H_

#include <cstdint>
#include <deque>

#include "engine_request.h"
#include "prefix_cache.h"

namespace marjoramsill {

/// A fake engine with continuous batching: up to `slots` requests run at once,
/// the others wait in order of arrival.
struct fake_engine {
  static constexpr double kDecodeSeconds = 0.034;
  static constexpr std::uint64_t kCacheTokens = 1500000;

  std::uint32_t slots = 48;
  double prefill_rate = 8000;
  bool is_up = true;
  std::uint32_t running = 0;
  std::deque<engine_request> waiting;
  prefix_cache cache{kCacheTokens};

  std::uint32_t load() const {
    return running + static_cast<std::uint32_t>(waiting.size());
  }
  std::uint32_t Cached(const engine_request& request) const;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_BENCHMARKS_CHOICE_FAKE_ENGINE_H_
