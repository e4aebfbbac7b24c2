#include "engine_model.h"

#include <utility>

namespace marjoramsill {
namespace {

/// Prompt tokens that an engine computes in one millisecond.
constexpr std::uint64_t kPrefillTokensPerMs = 112;
/// Time to the first token of a request whose prefix is cached.
constexpr std::chrono::milliseconds kFirstToken{25};

}  // namespace

engine_model::engine_model(std::uint32_t slots, scheduler schedule)
    : slots_(slots), schedule_(std::move(schedule)) {}

load_report engine_model::Report() const {
  return {running_, static_cast<std::uint32_t>(queue_.size()), slots_};
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
  schedule_(first_token, [this, started] { started.on_first_token(Report()); });
  const steady_time end = first_token + started.response_time;
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
