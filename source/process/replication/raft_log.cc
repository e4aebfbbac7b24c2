#include "process/replication/raft_log.h"

#include <utility>

namespace marjoramsill {

void raft_log::Reset(log_index index, log_term term) {
  entries_.clear();
  bytes_ = 0;
  base_index_ = index;
  base_term_ = term;
}

void raft_log::Append(log_entry entry) {
  bytes_ += entry.payload.size();
  entries_.push_back(std::move(entry));
}

void raft_log::TruncateFrom(log_index index) {
  while (!entries_.empty() && entries_.back().index >= index) {
    bytes_ -= entries_.back().payload.size();
    entries_.pop_back();
  }
}

void raft_log::CompactBefore(log_index index) {
  while (!entries_.empty() && entries_.front().index < index) {
    base_index_ = entries_.front().index;
    base_term_ = entries_.front().term;
    bytes_ -= entries_.front().payload.size();
    entries_.pop_front();
  }
}

log_index raft_log::last_index() const {
  return entries_.empty() ? base_index_ : entries_.back().index;
}

log_term raft_log::last_term() const {
  return entries_.empty() ? base_term_ : entries_.back().term;
}

std::optional<log_term> raft_log::TermAt(log_index index) const {
  if (index == base_index_) return base_term_;
  const log_entry* entry = Find(index);
  if (entry == nullptr) return std::nullopt;
  return entry->term;
}

const log_entry* raft_log::Find(log_index index) const {
  if (index <= base_index_ || index > last_index()) return nullptr;
  return &entries_[index.value() - base_index_.value() - 1];
}

std::size_t raft_log::PayloadBytesAfter(log_index index) const {
  std::size_t bytes = 0;
  for (auto it = entries_.rbegin(); it != entries_.rend(); ++it) {
    if (it->index <= index) break;
    bytes += it->payload.size();
  }
  return bytes;
}

std::vector<log_entry> raft_log::Copy(log_index from, std::size_t max_entries,
                                      std::size_t max_bytes) const {
  std::vector<log_entry> copied;
  std::size_t bytes = 0;
  for (log_index i = from; copied.size() < max_entries; i = i.Next()) {
    const log_entry* entry = Find(i);
    if (entry == nullptr) break;
    bytes += entry->payload.size();
    if (!copied.empty() && bytes > max_bytes) break;
    copied.push_back(*entry);
  }
  return copied;
}

}  // namespace marjoramsill
