#ifndef MARJORAMSILL_PROCESS_DIRECTORY_CONTENT_FAULT_STORE_H_
#define MARJORAMSILL_PROCESS_DIRECTORY_CONTENT_FAULT_STORE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "process/directory/content_fault.h"
#include "types/steady_time.h"

namespace marjoramsill {

/// Ends of endpoints under the same content, without an answer in between, from
/// which on all VMs have to know of it.
inline constexpr std::size_t kSharedEnds = 2;
/// Ends from which on they have to know of it at once.
inline constexpr std::size_t kUrgentEnds = 3;
/// Ends that a record holds. One that holds as many may lack some, so that it
/// cannot be compared with others.
inline constexpr std::size_t kMaxContentEnds = 64;

/// The prompt parts and requests that one process knows something against.
/// Changes are numbered, so that a receiver can go on after the last one that
/// it has. The number is bounded: those with the fewest ends are dropped first.
/// Not thread-safe.
class content_fault_store {
 public:
  /// An endpoint ended while it had a request with the content.
  void RecordEnd(content_digest content, endpoint_run_digest run,
                 steady_time now);
  /// An answer on the content was completed. Does nothing if nothing is known
  /// against it.
  void Clear(content_digest content, steady_time now);
  /// Merges a record of another process. An outdated one makes this process
  /// send its own again.
  void Merge(const content_fault& fault, steady_time now);
  /// Keeps a record that is still needed from expiring, here and at the
  /// processes that receive the changes.
  void Refresh(content_digest content, steady_time now);
  /// The record of some content, or null.
  const content_fault* Find(content_digest content) const;
  /// All ends of the records that have at least `least_ends` of them, without
  /// those of the `excluded` contents.
  std::unordered_set<endpoint_run_digest> EndsOfOthers(
      std::size_t least_ends,
      const std::vector<content_digest>& excluded) const;

  /// A bounded number of the records that changed after `number`, oldest
  /// change first; `number` becomes that of the last one.
  std::vector<content_fault> TakeAfter(std::uint64_t& number) const;
  /// As TakeAfter(), without the records that not all VMs have to know.
  std::vector<content_fault> TakeSharedAfter(std::uint64_t& number) const;
  /// Number of the last change.
  std::uint64_t last_change() const { return last_change_; }
  /// Number of the last change of a record that all VMs have to know at once.
  std::uint64_t last_urgent_change() const { return last_urgent_change_; }
  void Expire(steady_time now);
  std::size_t size() const { return entries_.size(); }

 private:
  struct entry {
    content_fault fault;
    std::uint64_t change = 0;
    steady_time updated_at;
  };

  std::vector<content_fault> Take(std::uint64_t& number,
                                  bool shared_only) const;
  entry& Insert(content_digest content);
  void DropLeastSuspected();
  void RecordChange(entry& changed, steady_time now);

  std::unordered_map<content_digest, entry> entries_;
  std::map<std::uint64_t, content_digest> changes_;
  std::uint64_t last_change_ = 0;
  std::uint64_t last_urgent_change_ = 0;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_DIRECTORY_CONTENT_FAULT_STORE_H_
