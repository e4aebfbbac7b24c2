#include "request/event_splitter.h"

#include <algorithm>

#include "connection/large_buffer.h"

namespace marjoramsill {
namespace {

constexpr std::string_view kIdField = "id:";

}  // namespace

std::string_view event_splitter::Add(std::string_view bytes) {
  const std::size_t held = rest_.size();
  const std::size_t found = scanner_.Read(bytes);
  rest_ += bytes;
  const std::size_t end = found == 0 ? 0 : held + found;
  complete_.assign(rest_, 0, end);
  rest_.erase(0, end);
  FindId(complete_);
  return complete_;
}

void event_splitter::DropRest() {
  ReleaseBuffer(rest_);
  ReleaseBuffer(complete_);
  scanner_.DropRest();
}

void event_splitter::FindId(std::string_view events) {
  while (!events.empty()) {
    const std::size_t end =
        std::min(events.find_first_of("\r\n"), events.size());
    std::string_view line = events.substr(0, end);
    events.remove_prefix(std::min(end + 1, events.size()));
    if (line.substr(0, kIdField.size()) != kIdField) continue;
    line.remove_prefix(kIdField.size());
    if (!line.empty() && line.front() == ' ') line.remove_prefix(1);
    last_id_ = line;
  }
}

}  // namespace marjoramsill
