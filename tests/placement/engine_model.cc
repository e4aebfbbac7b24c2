#include "engine_model.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace marjoramsill {
namespace {

/// Prompt tokens that an engine computes in one millisecond.
constexpr std::uint64_t kPrefillTokensPerMs = 112;
/// Time to the first token of a request whose prefix is cached.
constexpr std::chrono::milliseconds kFirstToken{25};
/// Age of a stated duration on arrival.
constexpr std::chrono::milliseconds kFigureAge{200};
constexpr double kPercent = 100;

}  // namespace

engine_model::engine_model(std::uint32_t slots, scheduler schedule)
    : slots_(slots), schedule_(std::move(schedule)) {}

load_report engine_model::Report(steady_time now) const {
  load_report report{running_, static_cast<std::uint32_t>(queue_.size()),
                     slots_};
  if (is_stated_) {
    report.duration_percent = static_cast<std::uint32_t>(
        std::lround(kPercent * factor_(now - kFigureAge, load())));
  }
  return report;
}

void engine_model::Submit(job submitted, steady_time now) {
  if (running_ < slots_) {
    Start(submitted, now);
  } else {
    queue_.push_back(std::move(submitted));
  }
}

void engine_model::Start(const job& started, steady_time now) {
  ++running_;
  steady_time first_token = now + kFirstToken;
  if (cached_.insert(started.prefix).second) {
    computed_tokens_ += started.prefix_tokens;
    first_token +=
        std::chrono::milliseconds(started.prefix_tokens / kPrefillTokensPerMs);
  }
  std::chrono::microseconds response_time = started.response_time;
  if (factor_) {
    const double factor = factor_(now, load());
    const auto scaled = [factor](std::chrono::microseconds usual) {
      return std::chrono::microseconds(
          std::llround(factor * static_cast<double>(usual.count())));
    };
    const auto work = std::chrono::duration_cast<std::chrono::microseconds>(
        first_token - now - kFirstToken);
    computed_at_ = std::max(computed_at_, now) + scaled(work);
    first_token = computed_at_ + scaled(kFirstToken);
    response_time = scaled(response_time);
  }
  schedule_(first_token, [this, started, first_token] {
    started.on_first_token(Report(first_token));
  });
  const steady_time end = first_token + response_time;
  schedule_(end, [this, started, end] {
    --running_;
    started.on_end();
    if (queue_.empty()) return;
    const job next = std::move(queue_.front());
    queue_.pop_front();
    Start(next, end);
  });
}

}  // namespace marjoramsill
