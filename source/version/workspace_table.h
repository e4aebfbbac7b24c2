#ifndef MARJORAMSILL_VERSION_WORKSPACE_TABLE_H_
#define MARJORAMSILL_VERSION_WORKSPACE_TABLE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "version/workspace_policy.h"

namespace marjoramsill {

/// Hash table from workspace name to policy with immutable buckets. Copies
/// share all buckets, and a change replaces only one bucket. So a snapshot with
/// one change among 45,000 workspaces copies about 180 entries.
class workspace_table {
 public:
  /// Null when the workspace is not in the table. Does not allocate. The
  /// pointer is valid as long as any copy of the table shares the bucket.
  const workspace_policy* Find(std::string_view name) const;
  void Set(std::string_view name, const workspace_policy& policy);
  void Remove(std::string_view name);

  std::size_t size() const { return size_; }
  /// Heap memory used by the buckets, in bytes.
  std::size_t MemoryBytes() const;

 private:
  static constexpr std::size_t kBuckets = 256;

  struct entry {
    std::uint64_t hash;
    std::uint32_t name_offset;
    std::uint16_t name_length;
    workspace_policy policy;
  };
  /// Entries sorted by hash. The names are concatenated in one string.
  struct bucket {
    std::vector<entry> entries;
    std::string names;
  };

  static std::shared_ptr<bucket> CopyWithout(const bucket* old,
                                             std::uint64_t hash,
                                             std::string_view name);
  static const entry* FindEntry(const bucket& in, std::uint64_t hash,
                                std::string_view name);

  std::array<std::shared_ptr<const bucket>, kBuckets> buckets_;
  std::size_t size_ = 0;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_VERSION_WORKSPACE_TABLE_H_
