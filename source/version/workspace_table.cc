#include "version/workspace_table.h"

#include <xxhash.h>

#include <algorithm>

namespace marjoramsill {
namespace {

std::uint64_t Hash(std::string_view name) {
  return XXH3_64bits(name.data(), name.size());
}

// The low bits of the hash select the bucket; entries are sorted by the full
// hash.
template <class Buckets>
auto& BucketOf(Buckets& buckets, std::uint64_t hash) {
  return buckets[hash % buckets.size()];
}

}  // namespace

const workspace_table::entry* workspace_table::FindEntry(
    const bucket& in, std::uint64_t hash, std::string_view name) {
  auto it = std::lower_bound(
      in.entries.begin(), in.entries.end(), hash,
      [](const entry& e, std::uint64_t value) { return e.hash < value; });
  for (; it != in.entries.end() && it->hash == hash; ++it) {
    if (std::string_view{in.names}.substr(it->name_offset, it->name_length) ==
        name) {
      return &*it;
    }
  }
  return nullptr;
}

const workspace_policy* workspace_table::Find(std::string_view name) const {
  const std::uint64_t hash = Hash(name);
  const bucket* in = BucketOf(buckets_, hash).get();
  if (in == nullptr) return nullptr;
  const entry* found = FindEntry(*in, hash, name);
  return found == nullptr ? nullptr : &found->policy;
}

std::shared_ptr<workspace_table::bucket> workspace_table::CopyWithout(
    const bucket* old, std::uint64_t hash, std::string_view name) {
  auto copy = std::make_shared<bucket>();
  if (old == nullptr) return copy;
  const entry* removed = FindEntry(*old, hash, name);
  copy->entries.reserve(old->entries.size() + 1);
  copy->names.reserve(old->names.size() + name.size());
  for (const entry& e : old->entries) {
    if (&e == removed) continue;
    entry moved = e;
    moved.name_offset = static_cast<std::uint32_t>(copy->names.size());
    copy->names.append(old->names, e.name_offset, e.name_length);
    copy->entries.push_back(moved);
  }
  return copy;
}

void workspace_table::Set(std::string_view name,
                          const workspace_policy& policy) {
  const std::uint64_t hash = Hash(name);
  auto& slot = BucketOf(buckets_, hash);
  if (Find(name) == nullptr) ++size_;
  auto copy = CopyWithout(slot.get(), hash, name);
  const entry added{hash, static_cast<std::uint32_t>(copy->names.size()),
                    static_cast<std::uint16_t>(name.size()), policy};
  copy->names.append(name);
  const auto place = std::upper_bound(
      copy->entries.begin(), copy->entries.end(), hash,
      [](std::uint64_t value, const entry& e) { return value < e.hash; });
  copy->entries.insert(place, added);
  slot = std::move(copy);
}

void workspace_table::Remove(std::string_view name) {
  if (Find(name) == nullptr) return;
  const std::uint64_t hash = Hash(name);
  auto& slot = BucketOf(buckets_, hash);
  slot = CopyWithout(slot.get(), hash, name);
  --size_;
}

std::size_t workspace_table::MemoryBytes() const {
  std::size_t bytes = 0;
  for (const auto& b : buckets_) {
    if (b == nullptr) continue;
    bytes += sizeof(bucket) + b->entries.capacity() * sizeof(entry) +
             b->names.capacity();
  }
  return bytes;
}

}  // namespace marjoramsill
