#include "child_process.h"

#include <fcntl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <stdexcept>

namespace marjoramsill::soak {

child_process::~child_process() { Kill(); }

void child_process::Start(const std::vector<std::string>& command,
                          const std::string& log_file) {
  std::vector<char*> arguments;
  for (const std::string& word : command) {
    arguments.push_back(const_cast<char*>(word.c_str()));
  }
  arguments.push_back(nullptr);
  const int log =
      ::open(log_file.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
  pid_ = ::fork();
  if (pid_ < 0 || log < 0) throw std::runtime_error("cannot start a process");
  if (pid_ == 0) {
    ::dup2(log, STDOUT_FILENO);
    ::dup2(log, STDERR_FILENO);
    // Otherwise the sockets of the soak test stay open in the child.
    ::close_range(STDERR_FILENO + 1, ~0U, 0);
    ::execv(arguments[0], arguments.data());
    ::_exit(127);
  }
  ::close(log);
}

void child_process::Signal(int signal) const {
  if (pid_ > 0) ::kill(pid_, signal);
}

void child_process::Kill() {
  if (pid_ <= 0) return;
  ::kill(pid_, SIGKILL);
  ::waitpid(pid_, nullptr, 0);
  pid_ = 0;
}

bool child_process::HasEnded(int& status) {
  if (pid_ <= 0 || ::waitpid(pid_, &status, WNOHANG) != pid_) return false;
  pid_ = 0;
  return true;
}

}  // namespace marjoramsill::soak
