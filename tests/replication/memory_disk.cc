#include "memory_disk.h"

#include <algorithm>
#include <utility>

namespace marjoramsill {
namespace {

/// Loses or tears some of the writes that begin at `starts`. What was lost
/// reads as zeros, or the file is shorter if no later write was kept.
void LoseWrites(std::string& bytes, const std::vector<std::size_t>& starts,
                const random_source& random) {
  enum class outcome { kKept, kLost, kTorn, kCount };
  std::size_t kept_end = starts.front();
  for (std::size_t i = 0; i < starts.size(); ++i) {
    const std::size_t begin = starts[i];
    const std::size_t end =
        i + 1 < starts.size() ? starts[i + 1] : bytes.size();
    const auto drawn = static_cast<outcome>(
        random() % static_cast<std::uint64_t>(outcome::kCount));
    std::size_t kept = begin;
    if (drawn == outcome::kKept) kept = end;
    if (drawn == outcome::kTorn) kept += random() % (end - begin + 1);
    if (kept > begin) kept_end = kept;
    std::fill(bytes.begin() + static_cast<std::ptrdiff_t>(kept),
              bytes.begin() + static_cast<std::ptrdiff_t>(end), '\0');
  }
  if (random() % 2 == 0) bytes.resize(kept_end);
}

}  // namespace

result<std::vector<std::string>, storage_error> memory_disk::List() {
  std::vector<std::string> names;
  for (const auto& [name, bytes] : files_) names.push_back(name);
  return names;
}

result<std::string, storage_error> memory_disk::Read(const std::string& name) {
  auto it = files_.find(name);
  if (it == files_.end()) {
    return failure(
        storage_error{storage_error_kind::kOpenFailed, name, 0, "missing"});
  }
  return it->second;
}

result<void, storage_error> memory_disk::Append(const std::string& name,
                                                std::string_view bytes) {
  auto taken = TakeRoom(name, bytes);
  unsynced_[name].push_back(files_[name].size());
  files_[name] += bytes;
  return taken;
}

result<void, storage_error> memory_disk::TakeRoom(const std::string& name,
                                                  std::string_view& bytes) {
  if (!room_) return success();
  const std::size_t wanted = bytes.size();
  bytes = bytes.substr(0, *room_);
  *room_ -= bytes.size();
  if (bytes.size() == wanted) return success();
  return failure(
      storage_error{storage_error_kind::kDiskFull, name, 0, "injected"});
}

result<void, storage_error> memory_disk::Sync(const std::string& name) {
  if (fail_sync_) {
    fail_sync_ = false;
    return failure(
        storage_error{storage_error_kind::kSyncFailed, name, 0, "injected"});
  }
  ++syncs_;
  unsynced_.erase(name);
  synced_names_.insert(name);
  return success();
}

result<void, storage_error> memory_disk::Truncate(const std::string& name,
                                                  std::uint64_t size) {
  files_[name].resize(size);
  return Sync(name);
}

result<void, storage_error> memory_disk::Replace(const std::string& name,
                                                 std::string_view bytes) {
  auto taken = TakeRoom(name + ".tmp", bytes);
  if (!taken) {
    files_[name + ".tmp"] = bytes;
    return taken;
  }
  files_[name] = bytes;
  unsynced_.erase(name);
  synced_names_.insert(name);
  ++syncs_;
  return success();
}

result<void, storage_error> memory_disk::Remove(const std::string& name) {
  files_.erase(name);
  unsynced_.erase(name);
  synced_names_.erase(name);
  return success();
}

void memory_disk::LosePower(const random_source& random) {
  fail_sync_ = false;
  const bool lose_all = random() % 4 == 0;
  for (const auto& [name, starts] : std::exchange(unsynced_, {})) {
    if (!synced_names_.contains(name) && random() % 2 == 0) {
      files_.erase(name);
      continue;
    }
    std::string& bytes = files_[name];
    if (lose_all) {
      bytes.resize(starts.front());
    } else {
      LoseWrites(bytes, starts, random);
    }
  }
  for (const auto& [name, bytes] : files_) synced_names_.insert(name);
}

}  // namespace marjoramsill
