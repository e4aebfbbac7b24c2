#ifndef MARJORAMSILL_TESTS_PLACEMENT_ENGINE_MODEL_H_
#define MARJORAMSILL_TESTS_PLACEMENT_ENGINE_MODEL_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <set>
#include <utility>

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
  /// Duration of work relative to the usual one, at a time and load.
  using duration_source = std::function<double(steady_time, std::uint32_t)>;

  engine_model(std::uint32_t slots, scheduler schedule);

  /// Work takes as long as `factor` says; prompts are computed one after the
  /// other. `is_stated`: reports state it, as it was 200 ms before.
  void SetDuration(duration_source factor, bool is_stated) {
    factor_ = std::move(factor);
    is_stated_ = is_stated;
  }

  void Submit(job submitted, steady_time now);
  /// Requests that run or wait.
  std::uint32_t load() const {
    return running_ + static_cast<std::uint32_t>(queue_.size());
  }
  std::uint64_t computed_tokens() const { return computed_tokens_; }

 private:
  void Start(const job& started, steady_time now);
  load_report Report(steady_time now) const;

  const std::uint32_t slots_;
  const scheduler schedule_;
  std::uint32_t running_ = 0;
  std::deque<job> queue_;
  std::set<std::uint64_t> cached_;
  std::uint64_t computed_tokens_ = 0;
  duration_source factor_;
  bool is_stated_ = false;
  /// The prompts accepted so far have been computed then.
  steady_time computed_at_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_TESTS_PLACEMENT_ENGINE_MODEL_H_
