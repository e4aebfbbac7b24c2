#include "process/replication/posix_folder.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <filesystem>
#include <system_error>

namespace marjoramsill {

posix_folder::~posix_folder() {
  for (const auto& [name, file] : files_) ::close(file.descriptor);
}

storage_error posix_folder::Error(storage_error_kind kind,
                                  const std::string& name) const {
  const int number = errno;
  const bool full = number == ENOSPC || number == EDQUOT;
  return {full ? storage_error_kind::kDiskFull : kind, path_ + "/" + name, 0,
          std::generic_category().message(number)};
}

result<void, storage_error> posix_folder::Create() {
  if (::mkdir(path_.c_str(), 0700) != 0 && errno != EEXIST) {
    return failure(Error(storage_error_kind::kOpenFailed, ""));
  }
  posix_folder parent(std::filesystem::path(path_).parent_path().string());
  return parent.SyncFolder();
}

result<std::vector<std::string>, storage_error> posix_folder::List() {
  std::vector<std::string> names;
  std::error_code error;
  std::filesystem::directory_iterator it(path_, error);
  const std::filesystem::directory_iterator end;
  for (; !error && it != end; it.increment(error)) {
    names.push_back(it->path().filename().string());
  }
  if (error) {
    return failure(storage_error{storage_error_kind::kReadFailed, path_, 0,
                                 error.message()});
  }
  return names;
}

result<std::string, storage_error> posix_folder::Read(const std::string& name) {
  const int descriptor =
      ::open((path_ + "/" + name).c_str(), O_RDONLY | O_CLOEXEC);
  if (descriptor < 0) {
    return failure(Error(storage_error_kind::kOpenFailed, name));
  }
  std::string bytes;
  std::string buffer(std::size_t{64} * 1024, '\0');
  for (;;) {
    const ssize_t count = ::read(descriptor, buffer.data(), buffer.size());
    if (count < 0 && errno == EINTR) continue;
    if (count < 0) {
      storage_error error = Error(storage_error_kind::kReadFailed, name);
      ::close(descriptor);
      return failure(std::move(error));
    }
    if (count == 0) break;
    bytes.append(buffer, 0, static_cast<std::size_t>(count));
  }
  ::close(descriptor);
  return bytes;
}

result<posix_folder::open_file*, storage_error> posix_folder::OpenForAppend(
    const std::string& name) {
  auto it = files_.find(name);
  if (it != files_.end()) return &it->second;
  const int descriptor =
      ::open((path_ + "/" + name).c_str(),
             O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
  if (descriptor < 0) {
    return failure(Error(storage_error_kind::kOpenFailed, name));
  }
  return &(files_[name] = open_file{descriptor, false});
}

result<void, storage_error> posix_folder::WriteAll(int descriptor,
                                                   const std::string& name,
                                                   std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t count = ::write(descriptor, bytes.data(), bytes.size());
    if (count < 0 && errno == EINTR) continue;
    if (count < 0) {
      return failure(Error(storage_error_kind::kWriteFailed, name));
    }
    bytes.remove_prefix(static_cast<std::size_t>(count));
  }
  return success();
}

result<void, storage_error> posix_folder::Append(const std::string& name,
                                                 std::string_view bytes) {
  auto file = OpenForAppend(name);
  if (!file) return failure(file.error());
  return WriteAll(file.value()->descriptor, name, bytes);
}

result<void, storage_error> posix_folder::Sync(const std::string& name) {
  auto file = OpenForAppend(name);
  if (!file) return failure(file.error());
  if (::fdatasync(file.value()->descriptor) != 0) {
    return failure(Error(storage_error_kind::kSyncFailed, name));
  }
  if (file.value()->name_synced) return success();
  file.value()->name_synced = true;
  return SyncFolder();
}

result<void, storage_error> posix_folder::SyncFolder() {
  const int descriptor = ::open(path_.empty() ? "." : path_.c_str(),
                                O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (descriptor < 0) {
    return failure(Error(storage_error_kind::kOpenFailed, ""));
  }
  const int synced = ::fsync(descriptor);
  storage_error error = Error(storage_error_kind::kSyncFailed, "");
  ::close(descriptor);
  if (synced != 0) return failure(std::move(error));
  return success();
}

result<void, storage_error> posix_folder::Truncate(const std::string& name,
                                                   std::uint64_t size) {
  auto file = OpenForAppend(name);
  if (!file) return failure(file.error());
  if (::ftruncate(file.value()->descriptor, static_cast<off_t>(size)) != 0) {
    return failure(Error(storage_error_kind::kWriteFailed, name));
  }
  return Sync(name);
}

result<void, storage_error> posix_folder::Replace(const std::string& name,
                                                  std::string_view bytes) {
  const std::string temporary = name + ".tmp";
  const std::string path = path_ + "/" + temporary;
  const int descriptor =
      ::open(path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
  if (descriptor < 0) {
    return failure(Error(storage_error_kind::kOpenFailed, temporary));
  }
  auto written = WriteAll(descriptor, temporary, bytes);
  if (written && ::fsync(descriptor) != 0) {
    written = failure(Error(storage_error_kind::kSyncFailed, temporary));
  }
  ::close(descriptor);
  if (!written) return written;
  if (::rename(path.c_str(), (path_ + "/" + name).c_str()) != 0) {
    return failure(Error(storage_error_kind::kWriteFailed, name));
  }
  return SyncFolder();
}

result<void, storage_error> posix_folder::Remove(const std::string& name) {
  auto it = files_.find(name);
  if (it != files_.end()) {
    ::close(it->second.descriptor);
    files_.erase(it);
  }
  if (::unlink((path_ + "/" + name).c_str()) != 0) {
    return failure(Error(storage_error_kind::kWriteFailed, name));
  }
  return SyncFolder();
}

}  // namespace marjoramsill
