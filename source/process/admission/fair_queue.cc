#include "process/admission/fair_queue.h"

#include <algorithm>

namespace marjoramsill {
namespace {

// Four children per node: half the levels of a binary heap, and the children
// share a cache line.
constexpr std::uint32_t kArity = 4;
// Idle flows checked per request taken. Each request taken makes at most one
// flow idle, so with two checks idle flows do not accumulate.
constexpr int kIdleChecks = 2;

}  // namespace

void fair_queue::Push(entry_pool& pool, entry_index index, double weight) {
  admission_entry& entry = pool.at(index);
  const flow_index target_flow = FindOrCreate(entry.workspace);
  if (flows_[target_flow].count == 0) {
    Activate(target_flow, weight);
  } else if (flows_[target_flow].weight != weight) {
    active_weight_ += weight - flows_[target_flow].weight;
    flows_[target_flow].weight = weight;
  }
  flow& workspace_flow = flows_[target_flow];
  entry.previous = workspace_flow.last;
  entry.next = kNoEntry;
  (workspace_flow.last == kNoEntry ? workspace_flow.first
                                   : pool.at(workspace_flow.last).next) = index;
  workspace_flow.last = index;
  ++workspace_flow.count;
  workspace_flow.cost += entry.cost;
  ++size_;
  cost_ += entry.cost;
}

entry_index fair_queue::Next() const {
  return flows_[heap_.front().flow].first;
}

entry_index fair_queue::Take(entry_pool& pool) {
  const flow_index source_flow = heap_.front().flow;
  flow& workspace_flow = flows_[source_flow];
  const entry_index index = workspace_flow.first;
  virtual_time_ = std::max(virtual_time_, workspace_flow.start_tag);
  workspace_flow.start_tag +=
      static_cast<double>(pool.at(index).cost) / workspace_flow.weight;
  Unlink(pool, workspace_flow, index);
  if (workspace_flow.count == 0) {
    Deactivate(source_flow);
  } else {
    HeapUpdate(workspace_flow.heap_position);
  }
  ReleaseIdle();
  return index;
}

void fair_queue::Remove(entry_pool& pool, entry_index index) {
  const flow_index source_flow = Find(pool.at(index).workspace);
  Unlink(pool, flows_[source_flow], index);
  if (flows_[source_flow].count == 0) Deactivate(source_flow);
}

void fair_queue::CorrectCharge(std::uint32_t workspace, double difference) {
  const flow_index index = Find(workspace);
  if (index == kNoFlow) return;
  flow& workspace_flow = flows_[index];
  // A refund must not move the start tag behind the virtual time, which would
  // give the workspace credit.
  workspace_flow.start_tag =
      std::max(workspace_flow.start_tag + difference / workspace_flow.weight,
               virtual_time_);
  if (workspace_flow.count > 0) HeapUpdate(workspace_flow.heap_position);
}

std::size_t fair_queue::QueuedOf(std::uint32_t workspace) const {
  const flow_index index = Find(workspace);
  return index == kNoFlow ? 0 : flows_[index].count;
}

double fair_queue::WorkAhead(std::uint32_t workspace, double weight) const {
  if (heap_.empty()) return 0;
  const flow_index index = Find(workspace);
  if (index == kNoFlow) return WorkUntil(virtual_time_, weight);
  const flow& workspace_flow = flows_[index];
  const double start_tag = std::max(workspace_flow.start_tag, virtual_time_) +
                           static_cast<double>(workspace_flow.cost) / weight;
  return WorkUntil(start_tag, workspace_flow.count == 0 ? weight : 0);
}

// Estimated cost served until the virtual time reaches `start_tag`: every
// active workspace is served in proportion to its weight, but in total not more
// than is queued. `added_weight` is the weight of a workspace that is not
// active yet.
double fair_queue::WorkUntil(double start_tag, double added_weight) const {
  const double fair_work = std::max(start_tag - virtual_time_, 0.0) *
                           (active_weight_ + added_weight);
  return std::min(fair_work, static_cast<double>(cost_));
}

std::size_t fair_queue::MemoryBytes() const {
  return flows_.capacity() * sizeof(flow) +
         free_flows_.capacity() * sizeof(flow_index) +
         flow_by_workspace_.capacity() * sizeof(flow_index) +
         heap_.capacity() * sizeof(heap_item);
}

fair_queue::flow_index fair_queue::Find(std::uint32_t workspace) const {
  return workspace < flow_by_workspace_.size() ? flow_by_workspace_[workspace]
                                               : kNoFlow;
}

fair_queue::flow_index fair_queue::FindOrCreate(std::uint32_t workspace) {
  if (workspace >= flow_by_workspace_.size()) {
    flow_by_workspace_.resize(workspace + 1, kNoFlow);
  }
  flow_index& index = flow_by_workspace_[workspace];
  if (index != kNoFlow) return index;
  if (free_flows_.empty()) {
    flows_.emplace_back();
    // Reserved for every flow, so that releasing one does not allocate.
    free_flows_.reserve(flows_.capacity());
    heap_.reserve(flows_.capacity());
    free_flows_.push_back(static_cast<flow_index>(flows_.size() - 1));
  }
  index = free_flows_.back();
  free_flows_.pop_back();
  flows_[index] = flow{.start_tag = virtual_time_, .workspace = workspace};
  Append(idle_, index);
  return index;
}

void fair_queue::Activate(flow_index index, double weight) {
  flow& workspace_flow = flows_[index];
  workspace_flow.start_tag = std::max(workspace_flow.start_tag, virtual_time_);
  workspace_flow.weight = weight;
  active_weight_ += weight;
  Detach(idle_, index);
  Append(active_, index);
  HeapInsert(index);
}

void fair_queue::Deactivate(flow_index index) {
  active_weight_ -= flows_[index].weight;
  HeapErase(flows_[index].heap_position);
  // Clears the accumulated rounding errors of the sum.
  if (heap_.empty()) active_weight_ = 0;
  Detach(active_, index);
  Append(idle_, index);
}

void fair_queue::ReleaseIdle() {
  for (int i = 0; i < kIdleChecks && idle_.first != kNoFlow; ++i) {
    const flow_index index = idle_.first;
    Detach(idle_, index);
    if (flows_[index].start_tag > virtual_time_) {
      Append(idle_, index);
    } else {
      flow_by_workspace_[flows_[index].workspace] = kNoFlow;
      free_flows_.push_back(index);
    }
  }
}

void fair_queue::Unlink(entry_pool& pool, flow& from, entry_index index) {
  const admission_entry& entry = pool.at(index);
  (entry.previous == kNoEntry ? from.first : pool.at(entry.previous).next) =
      entry.next;
  (entry.next == kNoEntry ? from.last : pool.at(entry.next).previous) =
      entry.previous;
  --from.count;
  from.cost -= entry.cost;
  --size_;
  cost_ -= entry.cost;
}

void fair_queue::Append(flow_list& list, flow_index index) {
  flow& workspace_flow = flows_[index];
  workspace_flow.next = kNoFlow;
  workspace_flow.previous = list.last;
  (list.last == kNoFlow ? list.first : flows_[list.last].next) = index;
  list.last = index;
}

void fair_queue::Detach(flow_list& list, flow_index index) {
  const flow& workspace_flow = flows_[index];
  (workspace_flow.previous == kNoFlow ? list.first
                                      : flows_[workspace_flow.previous].next) =
      workspace_flow.next;
  (workspace_flow.next == kNoFlow ? list.last
                                  : flows_[workspace_flow.next].previous) =
      workspace_flow.previous;
}

void fair_queue::HeapInsert(flow_index index) {
  heap_.push_back({flows_[index].start_tag, index});
  SiftUp(static_cast<std::uint32_t>(heap_.size() - 1));
}

void fair_queue::HeapErase(std::uint32_t position) {
  const heap_item moved = heap_.back();
  heap_.pop_back();
  if (position == heap_.size()) return;
  Place(position, moved);
  HeapUpdate(position);
}

void fair_queue::HeapUpdate(std::uint32_t position) {
  heap_[position].start_tag = flows_[heap_[position].flow].start_tag;
  SiftUp(position);
  SiftDown(flows_[heap_[position].flow].heap_position);
}

void fair_queue::SiftUp(std::uint32_t position) {
  const heap_item item = heap_[position];
  while (position > 0) {
    const std::uint32_t parent = (position - 1) / kArity;
    if (heap_[parent].start_tag <= item.start_tag) break;
    Place(position, heap_[parent]);
    position = parent;
  }
  Place(position, item);
}

void fair_queue::SiftDown(std::uint32_t position) {
  const heap_item item = heap_[position];
  const auto size = static_cast<std::uint32_t>(heap_.size());
  while (true) {
    const std::uint32_t first = position * kArity + 1;
    if (first >= size) break;
    std::uint32_t least = first;
    for (std::uint32_t i = first + 1; i < std::min(first + kArity, size); ++i) {
      if (heap_[i].start_tag < heap_[least].start_tag) least = i;
    }
    if (heap_[least].start_tag >= item.start_tag) break;
    Place(position, heap_[least]);
    position = least;
  }
  Place(position, item);
}

void fair_queue::Place(std::uint32_t position, heap_item item) {
  heap_[position] = item;
  flows_[item.flow].heap_position = position;
}

}  // namespace marjoramsill
