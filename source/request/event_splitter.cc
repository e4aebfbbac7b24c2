#include "request/event_splitter.h"

#include <algorithm>

namespace marjoramsill {
namespace {

constexpr std::string_view kIdField = "id:";

/// Position after the last blank line, or 0 if there is none. Lines end with LF
/// or CR LF.
std::size_t EndOfLastEvent(std::string_view text) {
  std::size_t at = text.rfind('\n');
  while (at != std::string_view::npos && at > 0) {
    const std::size_t before = text[at - 1] == '\r' ? at - 1 : at;
    if (before > 0 && text[before - 1] == '\n') return at + 1;
    at = text.rfind('\n', at - 1);
  }
  return 0;
}

}  // namespace

std::string_view event_splitter::Add(std::string_view bytes) {
  rest_ += bytes;
  const std::size_t end = EndOfLastEvent(rest_);
  complete_.assign(rest_, 0, end);
  rest_.erase(0, end);
  FindId(complete_);
  return complete_;
}

void event_splitter::FindId(std::string_view events) {
  while (!events.empty()) {
    const std::size_t end = std::min(events.find('\n'), events.size());
    std::string_view line = events.substr(0, end);
    events.remove_prefix(std::min(end + 1, events.size()));
    if (line.substr(0, kIdField.size()) != kIdField) continue;
    line.remove_prefix(kIdField.size());
    if (!line.empty() && line.front() == ' ') line.remove_prefix(1);
    if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
    last_id_ = line;
  }
}

}  // namespace marjoramsill
