#ifndef MARJORAMSILL_PROCESS_DIRECTORY_CONTENT_FAULT_RECEIPTS_H_
#define MARJORAMSILL_PROCESS_DIRECTORY_CONTENT_FAULT_RECEIPTS_H_

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "process/directory/content_fault.h"
#include "types/steady_time.h"

namespace marjoramsill {

/// The content records that one watcher is known to have, because it reported
/// them or confirmed a response with them. Every control process has every
/// record, so that without this a watcher would get each from all of them.
class content_fault_receipts {
 public:
  /// The watcher sent these records.
  void OnReported(const std::vector<content_fault>& faults, steady_time now);
  /// A response with these records was sent, the last change being `number`.
  void OnSent(std::uint64_t number, std::vector<content_fault> faults);
  /// The watcher has applied the changes up to `number`.
  void OnApplied(std::uint64_t number, steady_time now);
  /// Removes the records that the watcher has. One that it has had for a while
  /// stays, so that it does not expire there while it is needed elsewhere.
  void RemoveKnown(std::vector<content_fault>& faults, steady_time now) const;
  std::size_t size() const { return known_.size(); }

 private:
  struct receipt {
    content_fault fault;
    steady_time received_at;
  };

  std::unordered_map<content_digest, receipt> known_;
  std::uint64_t sent_number_ = 0;
  std::vector<content_fault> sent_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_DIRECTORY_CONTENT_FAULT_RECEIPTS_H_
