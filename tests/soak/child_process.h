#ifndef MARJORAMSILL_TESTS_SOAK_CHILD_PROCESS_H_
#define MARJORAMSILL_TESTS_SOAK_CHILD_PROCESS_H_

#include <sys/types.h>

#include <string>
#include <vector>

namespace marjoramsill::soak {

/// A process that the soak test started. Signals go to its process id only; the
/// destructor kills it if it is still running.
class child_process {
 public:
  child_process() = default;
  ~child_process();
  child_process(const child_process&) = delete;
  child_process& operator=(const child_process&) = delete;

  /// Appends standard output and standard error to `log_file`. Throws
  /// std::runtime_error if the process cannot be started.
  void Start(const std::vector<std::string>& command,
             const std::string& log_file);
  void Signal(int signal) const;
  /// Sends SIGKILL and waits for the process to end.
  void Kill();
  /// True once, after the process has ended; `status` is set by waitpid().
  bool HasEnded(int& status);
  bool is_running() const { return pid_ > 0; }
  pid_t id() const { return pid_; }

 private:
  pid_t pid_ = 0;
};

}  // namespace marjoramsill::soak

#endif  // MARJORAMSILL_TESTS_SOAK_CHILD_PROCESS_H_
