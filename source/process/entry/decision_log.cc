#include "process/entry/decision_log.h"

#include <unistd.h>

#include <chrono>
#include <utility>

namespace marjoramsill {
namespace {

/// Lines are buffered for this time, so that a busy process makes few write
/// calls.
constexpr std::chrono::milliseconds kCollectTime{200};
constexpr std::uint64_t kMillisPerSecond = 1'000;

std::uint64_t WallMillis() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

void WriteAll(const std::string& text) {
  std::size_t written = 0;
  while (written < text.size()) {
    const ssize_t count =
        ::write(STDOUT_FILENO, text.data() + written, text.size() - written);
    // Standard output is closed or broken, so the error cannot be logged.
    if (count <= 0) return;
    written += static_cast<std::size_t>(count);
  }
}

}  // namespace

decision_log::decision_log() : decision_log({WriteAll, WallMillis}) {}

decision_log::decision_log(hooks callbacks)
    : hooks_(std::move(callbacks)), thread_([this] { Run(); }) {}

decision_log::~decision_log() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  wake_.notify_one();
  thread_.join();
}

bool decision_log::AllowsLine(line_class kind, std::uint64_t now_ms) {
  const std::uint64_t second = now_ms / kMillisPerSecond;
  if (second != second_) {
    second_ = second;
    lines_in_second_ = 0;
    frequent_in_second_ = 0;
  }
  if (lines_in_second_ >= kMaxLinesPerSecond) return false;
  if (kind == line_class::kFrequent) {
    if (frequent_in_second_ >= kMaxFrequentLinesPerSecond) return false;
    ++frequent_in_second_;
  }
  ++lines_in_second_;
  return buffer_.size() < kMaxBufferedBytes;
}

void decision_log::Write(std::string_view event, std::string_view fields,
                         line_class kind) {
  const std::uint64_t now_ms = hooks_.wall_clock();
  const std::lock_guard lock(mutex_);
  if (!AllowsLine(kind, now_ms)) {
    ++dropped_;
    return;
  }
  const bool was_empty = buffer_.empty();
  buffer_ += "time=";
  buffer_ += std::to_string(now_ms);
  buffer_ += " event=";
  buffer_ += event;
  if (!fields.empty()) buffer_ += ' ';
  buffer_ += fields;
  if (dropped_ != reported_dropped_) {
    buffer_ += " dropped_lines=" + std::to_string(dropped_);
    reported_dropped_ = dropped_;
  }
  buffer_ += '\n';
  if (was_empty) wake_.notify_one();
}

std::uint64_t decision_log::dropped() const {
  const std::lock_guard lock(mutex_);
  return dropped_;
}

void decision_log::Run() {
  std::unique_lock lock(mutex_);
  for (;;) {
    wake_.wait(lock, [this] { return stopping_ || !buffer_.empty(); });
    if (!stopping_) {
      wake_.wait_for(lock, kCollectTime, [this] { return stopping_; });
    }
    std::string text;
    text.swap(buffer_);
    lock.unlock();
    hooks_.output(text);
    lock.lock();
    if (stopping_ && buffer_.empty()) return;
  }
}

}  // namespace marjoramsill
