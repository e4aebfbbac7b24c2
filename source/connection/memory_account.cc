#include "connection/memory_account.h"

#include <numeric>
#include <utility>

#include "connection/memory_budget.h"

namespace marjoramsill {
namespace {

/// With 4 MiB held, 16 KB/s are progress within memory_budget::kStallTime.
constexpr std::size_t kProgressShare = 128;

}  // namespace

memory_account::memory_account(memory_budget* budget, steady_time now,
                               std::function<void()> close)
    : budget_(budget), close_(std::move(close)), last_progress_(now) {
  if (budget_ != nullptr) budget_->Add(*this);
}

memory_account::~memory_account() {
  if (budget_ == nullptr) return;
  Clear();
  budget_->Remove(*this);
}

void memory_account::Set(memory_kind kind, std::size_t bytes) {
  std::size_t& held = held_[static_cast<std::size_t>(kind)];
  if (budget_ != nullptr) budget_->Change(kind, held, bytes);
  held = bytes;
}

void memory_account::Clear() {
  for (std::size_t i = 0; i < kMemoryKindCount; ++i) {
    Set(static_cast<memory_kind>(i), 0);
  }
}

void memory_account::RecordTransfer(std::size_t bytes, steady_time now) {
  transferred_ += bytes;
  if (transferred_ < total() / kProgressShare) return;
  transferred_ = 0;
  last_progress_ = now;
}

void memory_account::RestartProgress(steady_time now) {
  transferred_ = 0;
  last_progress_ = now;
}

std::size_t memory_account::total() const {
  return std::accumulate(held_.begin(), held_.end(), std::size_t{0});
}

void memory_account::Relieve(steady_time now) {
  if (budget_ != nullptr) budget_->Relieve(now);
}

bool memory_account::IsExceeded() const {
  return budget_ != nullptr && budget_->IsExceeded();
}

bool memory_account::IsExceededFor(std::size_t request_bytes) const {
  return budget_ != nullptr && budget_->IsExceededFor(request_bytes);
}

}  // namespace marjoramsill
