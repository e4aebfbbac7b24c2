#include "process/directory/content_fault_receipts.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace marjoramsill {
namespace {

/// Shorter than the refresh interval of the records (60 s), and a tenth of
/// their lifetime.
constexpr std::chrono::seconds kReceiptLifetime{55};
/// About 130 KB for each watcher. Without a receipt a record is sent again.
constexpr std::size_t kMaxReceipts = 1'024;

/// Whether merging `fault` into `known` changes nothing.
bool Includes(const content_fault& known, const content_fault& fault) {
  if (known.clearances != fault.clearances) {
    return known.clearances > fault.clearances;
  }
  return std::includes(known.ends.begin(), known.ends.end(), fault.ends.begin(),
                       fault.ends.end());
}

}  // namespace

void content_fault_receipts::OnReported(
    const std::vector<content_fault>& faults, steady_time now) {
  std::erase_if(known_, [now](const auto& item) {
    return now - item.second.received_at > kReceiptLifetime;
  });
  for (const content_fault& each : faults) {
    const bool is_known = known_.contains(each.content);
    if (!is_known && known_.size() >= kMaxReceipts) continue;
    known_[each.content] = {each, now};
  }
}

void content_fault_receipts::OnSent(std::uint64_t number,
                                    std::vector<content_fault> faults) {
  sent_number_ = number;
  sent_ = std::move(faults);
}

void content_fault_receipts::OnApplied(std::uint64_t number, steady_time now) {
  if (sent_.empty()) return;
  const std::vector<content_fault> sent = std::exchange(sent_, {});
  if (number >= sent_number_) OnReported(sent, now);
}

void content_fault_receipts::RemoveKnown(std::vector<content_fault>& faults,
                                         steady_time now) const {
  std::erase_if(faults, [this, now](const content_fault& fault) {
    const auto found = known_.find(fault.content);
    return found != known_.end() &&
           now - found->second.received_at <= kReceiptLifetime &&
           Includes(found->second.fault, fault);
  });
}

}  // namespace marjoramsill
