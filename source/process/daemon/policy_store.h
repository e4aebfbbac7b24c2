#ifndef MARJORAMSILL_PROCESS_DAEMON_POLICY_STORE_H_
#define MARJORAMSILL_PROCESS_DAEMON_POLICY_STORE_H_

#include <memory>
#include <mutex>
#include <utility>

namespace marjoramsill {

class policy_snapshot;

/// The policy version in force on this VM. Readers share it by reference; it is
/// replaced as a whole. Current() is null until the first version arrives.
class policy_store {
 public:
  std::shared_ptr<const policy_snapshot> Current() const {
    const std::lock_guard lock(mutex_);
    return current_;
  }

  void Replace(std::shared_ptr<const policy_snapshot> next) {
    const std::lock_guard lock(mutex_);
    current_ = std::move(next);
  }

 private:
  mutable std::mutex mutex_;
  std::shared_ptr<const policy_snapshot> current_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_DAEMON_POLICY_STORE_H_
