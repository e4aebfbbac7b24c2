#ifndef MARJORAMSILL_TESTS_SOAK_CHILD_PROCESS_H_
#define MARJORAMSILL_TESTS_SOAK_CHILD_PROCESS_H_

#include <sys/types.h>

#include <string>
#include <vector>

namespace marjoramsill::soak {

/// A process that the soak started. Only such processes are signalled, by
/// their ids; what is left is killed at the end.
class child_process {
 public:
  child_process() = default;
  ~child_process();
  child_process(const child_process&) = delete;
  child_process& operator=(const child_process&) = delete;

  /// Output goes to the end of `log_file`.
  void Start(const std::vector<std::string>& command,
             const std::string& log_file);
  void Signal(int signal) const;
  /// Kills it and waits for its end.
  void Kill();
  /// True if it has ended since the last call; `status` is that of waitpid().
  bool HasEnded(int& status);
  bool is_running() const { return pid_ > 0; }

 private:
  pid_t pid_ = 0;
};

}  // namespace marjoramsill::soak

#endif  // MARJORAMSILL_TESTS_SOAK_CHILD_PROCESS_H_
