#include "process/admission/entry_pool.h"

namespace marjoramsill {
namespace {

constexpr unsigned kIndexBits = 32;

}  // namespace

entry_index entry_pool::Allocate(const admission_offer& offer) {
  if (free_ == kNoEntry) {
    entries_.emplace_back();
    free_ = static_cast<entry_index>(entries_.size() - 1);
  }
  const entry_index index = free_;
  admission_entry& entry = entries_[index];
  free_ = entry.next;
  const std::uint32_t generation = entry.generation;
  entry = {.request = offer.request,
           .cost = offer.cost.value(),
           .deadline = offer.deadline,
           .service = offer.expected_service,
           .workspace = static_cast<std::uint32_t>(offer.workspace.value()),
           .generation = generation,
           .rank = offer.rank};
  return index;
}

void entry_pool::Free(entry_index index) {
  admission_entry& entry = entries_[index];
  entry.state = entry_state::kFree;
  ++entry.generation;
  entry.next = free_;
  free_ = index;
}

admission_ticket entry_pool::Ticket(entry_index index) const {
  const std::uint64_t generation = entries_[index].generation;
  return admission_ticket((generation << kIndexBits) | index);
}

entry_index entry_pool::Find(admission_ticket ticket, entry_state state) const {
  const auto index = static_cast<entry_index>(ticket.value());
  if (index >= entries_.size()) return kNoEntry;
  if (Ticket(index) != ticket || entries_[index].state != state) {
    return kNoEntry;
  }
  return index;
}

std::size_t entry_pool::MemoryBytes() const {
  return entries_.capacity() * sizeof(admission_entry);
}

}  // namespace marjoramsill
