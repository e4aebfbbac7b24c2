#ifndef MARJORAMSILL_PROCESS_ADMISSION_FAIR_QUEUE_H_
#define MARJORAMSILL_PROCESS_ADMISSION_FAIR_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "process/admission/entry_pool.h"

namespace marjoramsill {

/// Start-time fair queueing between the workspaces of one rank (Goyal, Vin and
/// Cheng, 1996). A workspace's start tag grows by cost / weight with each
/// request taken; the smallest tag is next. A workspace that becomes active
/// starts at the current virtual time, so idle time builds no credit.
class fair_queue {
 public:
  void Push(entry_pool& pool, entry_index index, double weight);
  /// The request that Take would return. The queue must not be empty.
  entry_index Next() const;
  /// Removes the next request and charges its cost to its workspace.
  entry_index Take(entry_pool& pool);
  /// Removes any queued request without a charge.
  void Remove(entry_pool& pool, entry_index index);
  /// Corrects an earlier charge by the cost really used minus the estimate.
  void Correct(std::uint32_t workspace, double difference);

  bool empty() const { return heap_.empty(); }
  std::size_t size() const { return size_; }
  std::uint64_t cost() const { return cost_; }
  std::size_t QueuedOf(std::uint32_t workspace) const;
  /// Estimated cost that is taken before a new request of this workspace.
  double WorkAhead(std::uint32_t workspace, double weight) const;

  /// Calls late(entry, work ahead) for the requests of the workspace that was
  /// visited longest ago, first to last; those for which it returns true are
  /// removed and handed to removed(entry). Returns the number visited.
  template <class Late, class Removed>
  std::size_t VisitOne(entry_pool& pool, Late late, Removed removed);

  std::size_t MemoryBytes() const;

 private:
  using flow_index = std::uint32_t;
  static constexpr flow_index kNoFlow = 0xffffffff;

  /// A workspace that has requests queued, or whose tag is still ahead of the
  /// virtual time. In one cache line: with many workspaces every access misses.
  struct alignas(64) flow {
    double tag = 0;
    double weight = 1;
    std::uint64_t cost = 0;
    entry_index first = kNoEntry;
    entry_index last = kNoEntry;
    std::uint32_t count = 0;
    std::uint32_t workspace = 0;
    std::uint32_t heap_position = 0;
    /// Links the ring of active or of idle flows.
    flow_index next = kNoFlow;
    flow_index previous = kNoFlow;
  };
  struct ring {
    flow_index first = kNoFlow;
    flow_index last = kNoFlow;
  };
  struct heap_item {
    double tag;
    flow_index flow;
  };

  flow_index Find(std::uint32_t workspace) const;
  flow_index FindOrCreate(std::uint32_t workspace);
  void Activate(flow_index index, double weight);
  void Deactivate(flow_index index);
  void ReleaseIdle();
  void Unlink(entry_pool& pool, flow& from, entry_index index);
  double Work(double tag, double weight) const;
  void Append(ring& to, flow_index index);
  void Detach(ring& from, flow_index index);
  void HeapInsert(flow_index index);
  void HeapErase(std::uint32_t position);
  void HeapUpdate(std::uint32_t position);
  void SiftUp(std::uint32_t position);
  void SiftDown(std::uint32_t position);
  void Place(std::uint32_t position, heap_item item);

  std::vector<flow> flows_;
  std::vector<flow_index> free_flows_;
  /// Flow of each workspace handle, or kNoFlow.
  std::vector<flow_index> by_workspace_;
  std::vector<heap_item> heap_;
  ring active_;
  ring idle_;
  double virtual_time_ = 0;
  double active_weight_ = 0;
  std::size_t size_ = 0;
  std::uint64_t cost_ = 0;
};

template <class Late, class Removed>
std::size_t fair_queue::VisitOne(entry_pool& pool, Late late, Removed removed) {
  const flow_index index = active_.first;
  if (index == kNoFlow) return 0;
  Detach(active_, index);
  Append(active_, index);
  std::size_t visited = 0;
  double ahead = 0;
  entry_index at = flows_[index].first;
  while (at != kNoEntry) {
    const entry_index following = pool.at(at).next;
    const flow& of = flows_[index];
    ++visited;
    if (late(at, Work(of.tag + ahead / of.weight, 0))) {
      Remove(pool, at);
      removed(at);
    } else {
      ahead += static_cast<double>(pool.at(at).cost);
    }
    at = following;
  }
  return visited;
}

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_ADMISSION_FAIR_QUEUE_H_
