#include "process/admission/limit_fleet.h"

#include <xxhash.h>

#include <algorithm>

namespace marjoramsill {
namespace {

std::uint64_t Hash(const std::string& text) {
  return XXH3_64bits(text.data(), text.size());
}

std::uint64_t Weight(std::uint64_t workspace, std::uint64_t vm) {
  return XXH3_64bits_withSeed(&workspace, sizeof(workspace), vm);
}

}  // namespace

limit_fleet::limit_fleet(std::vector<vm_id> vms, const vm_id& self)
    : self_hash_(Hash(self.value())) {
  std::sort(vms.begin(), vms.end());
  vms.erase(std::unique(vms.begin(), vms.end()), vms.end());
  members_.reserve(vms.size());
  for (vm_id& vm : vms) {
    has_self_ = has_self_ || vm == self;
    const std::uint64_t hash = Hash(vm.value());
    members_.push_back({.vm = std::move(vm), .hash = hash});
  }
}

std::vector<vm_id> limit_fleet::Candidates(
    const workspace_id& workspace) const {
  const std::uint64_t key = Hash(workspace.value());
  std::vector<const member*> order;
  order.reserve(members_.size());
  for (const member& entry : members_) order.push_back(&entry);
  const auto count =
      static_cast<std::ptrdiff_t>(std::min(kMaxCandidates, order.size()));
  std::partial_sort(order.begin(), order.begin() + count, order.end(),
                    [key](const member* left, const member* right) {
                      return Weight(key, left->hash) > Weight(key, right->hash);
                    });
  std::vector<vm_id> first;
  for (std::ptrdiff_t i = 0; i < count; ++i) {
    first.push_back(order[static_cast<std::size_t>(i)]->vm);
  }
  return first;
}

double limit_fleet::FixedTokens(const workspace_limit& limit) const {
  if (!has_self_) return 0;
  return limit.tokens_per_second / static_cast<double>(members_.size());
}

std::uint32_t limit_fleet::FixedConcurrent(const workspace_id& workspace,
                                           const workspace_limit& limit) const {
  if (!has_self_) return 0;
  const auto size = static_cast<std::uint32_t>(members_.size());
  const std::uint64_t key = Hash(workspace.value());
  const std::uint64_t own = Weight(key, self_hash_);
  std::uint32_t before = 0;
  for (const member& entry : members_) {
    if (Weight(key, entry.hash) > own) ++before;
  }
  return limit.concurrent / size + (before < limit.concurrent % size ? 1 : 0);
}

}  // namespace marjoramsill
