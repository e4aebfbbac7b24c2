#include "process/replication/data_folder.h"

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <system_error>
#include <utility>

namespace marjoramsill {
namespace {

constexpr const char* kLockName = "lock";
constexpr const char* kDiskIdName = "disk_id";
constexpr const char* kGroupPrefix = "group-";

}  // namespace

data_folder::data_folder(std::string path, int lock)
    : path_(std::move(path)), lock_(lock) {}

data_folder::~data_folder() { ::close(lock_); }

result<std::unique_ptr<data_folder>, storage_error> data_folder::Open(
    const std::string& path, const random_source& random) {
  posix_folder folder(path);
  auto created = folder.Create();
  if (!created) return failure(created.error());
  const std::string lock_path = path + "/" + kLockName;
  const int lock =
      ::open(lock_path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
  if (lock < 0) {
    return failure(storage_error{storage_error_kind::kOpenFailed, lock_path, 0,
                                 std::generic_category().message(errno)});
  }
  if (::flock(lock, LOCK_EX | LOCK_NB) != 0) {
    ::close(lock);
    return failure(storage_error{storage_error_kind::kLocked, lock_path, 0,
                                 "locked by another process"});
  }
  std::unique_ptr<data_folder> opened(new data_folder(path, lock));
  auto loaded = opened->LoadDiskId(random);
  if (!loaded) return failure(loaded.error());
  return opened;
}

result<void, storage_error> data_folder::LoadDiskId(
    const random_source& random) {
  posix_folder folder(path_);
  auto names = folder.List();
  if (!names) return failure(names.error());
  const std::string path = path_ + "/" + kDiskIdName;
  const auto has = [&](auto predicate) {
    return std::any_of(names.value().begin(), names.value().end(), predicate);
  };
  if (!has([](const std::string& name) { return name == kDiskIdName; })) {
    // Without the disk id, the member that the stored logs belong to is
    // unknown.
    if (has([](const std::string& name) {
          return name.starts_with(kGroupPrefix);
        })) {
      return failure(storage_error{storage_error_kind::kNoDiskId, path, 0,
                                   "missing although group folders exist"});
    }
    disk_ = disk_id(random() | 1U);
    return folder.Replace(kDiskIdName, std::to_string(disk_.value()) + "\n");
  }
  auto bytes = folder.Read(kDiskIdName);
  if (!bytes) return failure(bytes.error());
  const std::string& text = bytes.value();
  std::uint64_t number = 0;
  const auto [stop, error] =
      std::from_chars(text.data(), text.data() + text.size(), number);
  const bool complete = stop + 1 == text.data() + text.size() && *stop == '\n';
  if (error != std::errc() || !complete || number == 0) {
    return failure(storage_error{storage_error_kind::kCorrupt, path, 0,
                                 "not a positive number"});
  }
  disk_ = disk_id(number);
  return success();
}

result<std::unique_ptr<posix_folder>, storage_error> data_folder::OpenGroup(
    const std::string& group) {
  auto folder =
      std::make_unique<posix_folder>(path_ + "/" + kGroupPrefix + group);
  auto created = folder->Create();
  if (!created) return failure(created.error());
  return folder;
}

}  // namespace marjoramsill
