#include "process/admission/fair_queue.h"

#include <algorithm>

namespace marjoramsill {
namespace {

// Four children a node: half the levels of a binary heap, and the children
// share a cache line.
constexpr std::uint32_t kArity = 4;
// Two idle flows are looked at per request taken, while one request taken
// makes at most one flow idle, so that idle flows do not pile up.
constexpr int kIdleChecks = 2;

}  // namespace

void fair_queue::Push(entry_pool& pool, entry_index index, double weight) {
  admission_entry& entry = pool.at(index);
  const flow_index to = FindOrCreate(entry.workspace);
  if (flows_[to].count == 0) {
    Activate(to, weight);
  } else if (flows_[to].weight != weight) {
    active_weight_ += weight - flows_[to].weight;
    flows_[to].weight = weight;
  }
  flow& of = flows_[to];
  entry.previous = of.last;
  entry.next = kNoEntry;
  (of.last == kNoEntry ? of.first : pool.at(of.last).next) = index;
  of.last = index;
  ++of.count;
  of.cost += entry.cost;
  ++size_;
  cost_ += entry.cost;
}

entry_index fair_queue::Next() const {
  return flows_[heap_.front().flow].first;
}

entry_index fair_queue::Take(entry_pool& pool) {
  const flow_index from = heap_.front().flow;
  flow& of = flows_[from];
  const entry_index index = of.first;
  virtual_time_ = std::max(virtual_time_, of.tag);
  of.tag += static_cast<double>(pool.at(index).cost) / of.weight;
  Unlink(pool, of, index);
  if (of.count == 0) {
    Deactivate(from);
  } else {
    HeapUpdate(of.heap_position);
  }
  ReleaseIdle();
  return index;
}

void fair_queue::Remove(entry_pool& pool, entry_index index) {
  const flow_index from = Find(pool.at(index).workspace);
  Unlink(pool, flows_[from], index);
  if (flows_[from].count == 0) Deactivate(from);
}

void fair_queue::Correct(std::uint32_t workspace, double difference) {
  const flow_index index = Find(workspace);
  if (index == kNoFlow) return;
  flow& of = flows_[index];
  // A refund may not put the tag behind the virtual time: that would be credit.
  of.tag = std::max(of.tag + difference / of.weight, virtual_time_);
  if (of.count > 0) HeapUpdate(of.heap_position);
}

std::size_t fair_queue::QueuedOf(std::uint32_t workspace) const {
  const flow_index index = Find(workspace);
  return index == kNoFlow ? 0 : flows_[index].count;
}

double fair_queue::WorkAhead(std::uint32_t workspace, double weight) const {
  if (heap_.empty()) return 0;
  const flow_index index = Find(workspace);
  if (index == kNoFlow) return Work(virtual_time_, weight);
  const flow& of = flows_[index];
  const double tag =
      std::max(of.tag, virtual_time_) + static_cast<double>(of.cost) / weight;
  return Work(tag, of.count == 0 ? weight : 0);
}

// Until the virtual time has reached the tag, every active workspace gets work
// in proportion to its weight, but in total not more than is queued.
// `joining` is the weight of a workspace that is not active yet.
double fair_queue::Work(double tag, double joining) const {
  const double fair =
      std::max(tag - virtual_time_, 0.0) * (active_weight_ + joining);
  return std::min(fair, static_cast<double>(cost_));
}

std::size_t fair_queue::MemoryBytes() const {
  return flows_.capacity() * sizeof(flow) +
         free_flows_.capacity() * sizeof(flow_index) +
         by_workspace_.capacity() * sizeof(flow_index) +
         heap_.capacity() * sizeof(heap_item);
}

fair_queue::flow_index fair_queue::Find(std::uint32_t workspace) const {
  return workspace < by_workspace_.size() ? by_workspace_[workspace] : kNoFlow;
}

fair_queue::flow_index fair_queue::FindOrCreate(std::uint32_t workspace) {
  if (workspace >= by_workspace_.size()) {
    by_workspace_.resize(workspace + 1, kNoFlow);
  }
  flow_index& index = by_workspace_[workspace];
  if (index != kNoFlow) return index;
  if (free_flows_.empty()) {
    flows_.emplace_back();
    // Room for every flow, so that releasing one does not allocate.
    free_flows_.reserve(flows_.capacity());
    heap_.reserve(flows_.capacity());
    free_flows_.push_back(static_cast<flow_index>(flows_.size() - 1));
  }
  index = free_flows_.back();
  free_flows_.pop_back();
  flows_[index] = flow{.tag = virtual_time_, .workspace = workspace};
  Append(idle_, index);
  return index;
}

void fair_queue::Activate(flow_index index, double weight) {
  flow& of = flows_[index];
  of.tag = std::max(of.tag, virtual_time_);
  of.weight = weight;
  active_weight_ += weight;
  Detach(idle_, index);
  Append(active_, index);
  HeapInsert(index);
}

void fair_queue::Deactivate(flow_index index) {
  active_weight_ -= flows_[index].weight;
  HeapErase(flows_[index].heap_position);
  // Rounding errors of the sum end with the backlog.
  if (heap_.empty()) active_weight_ = 0;
  Detach(active_, index);
  Append(idle_, index);
}

void fair_queue::ReleaseIdle() {
  for (int i = 0; i < kIdleChecks && idle_.first != kNoFlow; ++i) {
    const flow_index index = idle_.first;
    Detach(idle_, index);
    if (flows_[index].tag > virtual_time_) {
      Append(idle_, index);
    } else {
      by_workspace_[flows_[index].workspace] = kNoFlow;
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

void fair_queue::Append(ring& to, flow_index index) {
  flow& of = flows_[index];
  of.next = kNoFlow;
  of.previous = to.last;
  (to.last == kNoFlow ? to.first : flows_[to.last].next) = index;
  to.last = index;
}

void fair_queue::Detach(ring& from, flow_index index) {
  const flow& of = flows_[index];
  (of.previous == kNoFlow ? from.first : flows_[of.previous].next) = of.next;
  (of.next == kNoFlow ? from.last : flows_[of.next].previous) = of.previous;
}

void fair_queue::HeapInsert(flow_index index) {
  heap_.push_back({flows_[index].tag, index});
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
  heap_[position].tag = flows_[heap_[position].flow].tag;
  SiftUp(position);
  SiftDown(flows_[heap_[position].flow].heap_position);
}

void fair_queue::SiftUp(std::uint32_t position) {
  const heap_item item = heap_[position];
  while (position > 0) {
    const std::uint32_t parent = (position - 1) / kArity;
    if (heap_[parent].tag <= item.tag) break;
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
      if (heap_[i].tag < heap_[least].tag) least = i;
    }
    if (heap_[least].tag >= item.tag) break;
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
