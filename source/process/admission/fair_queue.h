#ifndef MARJORAMSILL_PROCESS_ADMISSION_FAIR_QUEUE_H_
#define MARJORAMSILL_PROCESS_ADMISSION_FAIR_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "process/admission/entry_pool.h"

namespace marjoramsill {

/// Start-time fair queueing between the workspaces of one rank (Goyal, Vin and
/// Cheng, 1996). A workspace's start tag grows by cost / weight with each
/// request taken; the workspace with the smallest start tag is served next. A
/// workspace that becomes active starts at the current virtual time, so idle
/// time builds no credit.
class fair_queue {
 public:
  void Push(entry_pool& pool, entry_index index, double weight);
  /// The request that Take would return. The queue must not be empty.
  entry_index Next() const;
  /// Removes the next request and charges its cost to its workspace.
  entry_index Take(entry_pool& pool);
  /// Removes a queued request without charging its workspace.
  void Remove(entry_pool& pool, entry_index index);
  /// Adjusts an earlier charge by `difference`, the actual cost minus the
  /// estimate.
  void CorrectCharge(std::uint32_t workspace, double difference);

  bool empty() const { return heap_.empty(); }
  std::size_t size() const { return size_; }
  std::uint64_t cost() const { return cost_; }
  std::size_t QueuedOf(std::uint32_t workspace) const;
  /// Estimated cost that is served before a new request of this workspace.
  double WorkAhead(std::uint32_t workspace, double weight) const;

  /// Calls is_late(entry, work ahead) for each request, in queue order, of the
  /// workspace whose last visit is the longest ago. Requests for which it
  /// returns true are removed and passed to on_removed(entry). Returns the
  /// number of requests visited.
  template <class Late, class Removed>
  std::size_t VisitNextWorkspace(entry_pool& pool, Late is_late,
                                 Removed on_removed);

  std::size_t MemoryBytes() const;

 private:
  using flow_index = std::uint32_t;
  static constexpr flow_index kNoFlow = 0xffffffff;

  /// A workspace that has queued requests or whose start tag is still ahead of
  /// the virtual time. Fits in one cache line, because with many workspaces
  /// every access is a cache miss.
  struct alignas(64) flow {
    double start_tag = 0;
    double weight = 1;
    std::uint64_t cost = 0;
    entry_index first = kNoEntry;
    entry_index last = kNoEntry;
    std::uint32_t count = 0;
    std::uint32_t workspace = 0;
    std::uint32_t heap_position = 0;
    /// Links in the list of active or of idle flows.
    flow_index next = kNoFlow;
    flow_index previous = kNoFlow;
  };
  struct flow_list {
    flow_index first = kNoFlow;
    flow_index last = kNoFlow;
  };
  struct heap_item {
    double start_tag;
    flow_index flow;
  };

  flow_index Find(std::uint32_t workspace) const;
  flow_index FindOrCreate(std::uint32_t workspace);
  void Activate(flow_index index, double weight);
  void Deactivate(flow_index index);
  void ReleaseIdle();
  void Unlink(entry_pool& pool, flow& from, entry_index index);
  double WorkUntil(double start_tag, double weight) const;
  void Append(flow_list& list, flow_index index);
  void Detach(flow_list& list, flow_index index);
  void HeapInsert(flow_index index);
  void HeapErase(std::uint32_t position);
  void HeapUpdate(std::uint32_t position);
  void SiftUp(std::uint32_t position);
  void SiftDown(std::uint32_t position);
  void Place(std::uint32_t position, heap_item item);

  std::vector<flow> flows_;
  std::vector<flow_index> free_flows_;
  /// Flow of each workspace handle, or kNoFlow.
  std::vector<flow_index> flow_by_workspace_;
  std::vector<heap_item> heap_;
  flow_list active_;
  flow_list idle_;
  double virtual_time_ = 0;
  double active_weight_ = 0;
  std::size_t size_ = 0;
  std::uint64_t cost_ = 0;
};

template <class Late, class Removed>
std::size_t fair_queue::VisitNextWorkspace(entry_pool& pool, Late is_late,
                                           Removed on_removed) {
  const flow_index index = active_.first;
  if (index == kNoFlow) return 0;
  Detach(active_, index);
  Append(active_, index);
  std::size_t visited = 0;
  double ahead = 0;
  entry_index current = flows_[index].first;
  while (current != kNoEntry) {
    const entry_index next_entry = pool.at(current).next;
    const flow& workspace_flow = flows_[index];
    ++visited;
    if (is_late(current, WorkUntil(workspace_flow.start_tag +
                                       ahead / workspace_flow.weight,
                                   0))) {
      Remove(pool, current);
      on_removed(current);
    } else {
      ahead += static_cast<double>(pool.at(current).cost);
    }
    current = next_entry;
  }
  return visited;
}

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_ADMISSION_FAIR_QUEUE_H_
