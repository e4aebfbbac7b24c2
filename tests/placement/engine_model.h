#ifndef MARJORAMSILL_TESTS_PLACEMENT_ENGINE_MODEL_H_
#define MARJORAMSILL_TESTS_PLACEMENT_ENGINE_MODEL_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <set>

#include "process/directory/load_report.h"
#include "types/steady_time.h"

namespace marjoramsill {

/// A model engine in virtual time, with a fixed number of slots, a queue, and
/// shared prefixes that are computed once and then cached.
class engine_model {
 public:
  struct job {
    std::uint64_t prefix = 0;
    std::uint64_t prefix_tokens = 0;
    /// Time from the first to the last token of the response.
    std::chrono::microseconds response_time{0};
    std::function<void(const load_report&)> on_first_token;
    std::function<void()> on_end;
  };
  /// Runs a function at the given time.
  using scheduler = std::function<void(steady_time, std::function<void()>)>;

  engine_model(std::uint32_t slots, scheduler schedule);

  void Submit(job submitted, steady_time now);
  /// Requests that run or wait.
  std::uint32_t load() const {
    return running_ + static_cast<std::uint32_t>(queue_.size());
  }
  std::uint64_t computed_tokens() const { return computed_tokens_; }

 private:
  void Start(const job& started, steady_time now);
  load_report Report() const;

  const std::uint32_t slots_;
  const scheduler schedule_;
  std::uint32_t running_ = 0;
  std::deque<job> queue_;
  std::set<std::uint64_t> cached_;
  std::uint64_t computed_tokens_ = 0;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_TESTS_PLACEMENT_ENGINE_MODEL_H_
