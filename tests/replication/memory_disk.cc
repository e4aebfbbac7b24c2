#include "memory_disk.h"

namespace marjoramsill {

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
  files_[name] += bytes;
  return success();
}

result<void, storage_error> memory_disk::Sync(const std::string& name) {
  if (fail_sync_) {
    fail_sync_ = false;
    return failure(
        storage_error{storage_error_kind::kSyncFailed, name, 0, "injected"});
  }
  ++syncs_;
  synced_[name] = files_[name].size();
  return success();
}

result<void, storage_error> memory_disk::Truncate(const std::string& name,
                                                  std::uint64_t size) {
  files_[name].resize(size);
  return Sync(name);
}

result<void, storage_error> memory_disk::Replace(const std::string& name,
                                                 std::string_view bytes) {
  files_[name] = bytes;
  synced_[name] = bytes.size();
  ++syncs_;
  return success();
}

result<void, storage_error> memory_disk::Remove(const std::string& name) {
  files_.erase(name);
  synced_.erase(name);
  return success();
}

void memory_disk::LosePower(const random_source& random) {
  fail_sync_ = false;
  for (auto it = files_.begin(); it != files_.end();) {
    std::string& bytes = it->second;
    const bool known = synced_.contains(it->first);
    const std::size_t synced = known ? synced_[it->first] : 0;
    const std::size_t lost = bytes.size() - synced;
    if (!known && random() % 2 == 0) {
      it = files_.erase(it);
      continue;
    }
    if (lost > 0) {
      bytes.resize(synced + random() % (lost + 1));
      if (bytes.size() > synced && random() % 2 == 0) bytes.back() ^= 0x55;
    }
    synced_[it->first] = bytes.size();
    ++it;
  }
}

}  // namespace marjoramsill
