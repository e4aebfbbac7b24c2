#ifndef MARJORAMSILL_TESTS_FLEET_TRIAL_FLEET_H_
#define MARJORAMSILL_TESTS_FLEET_TRIAL_FLEET_H_

#include <sys/types.h>

#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "commands/control_client.h"
#include "version/signing_key.h"

namespace marjoramsill {

/// Six VMs in three failure domains, five of them control members, with fake
/// endpoints, as real processes on loopback. Ends what it started.
class trial_fleet {
 public:
  static constexpr int kVms = 6;

  trial_fleet();
  ~trial_fleet();
  trial_fleet(const trial_fleet&) = delete;
  trial_fleet& operator=(const trial_fleet&) = delete;

  /// Starts all VMs and endpoints and submits a first policy.
  void StartAll();
  void StartVm(int number);
  void StartEndpoint(const std::string& id, const std::string& domain, int port,
                     const std::string& serves,
                     const std::vector<std::string>& options = {});
  /// SIGKILL and wait.
  void Kill(const std::string& name);
  /// SIGTERM; the exit status, or -1 when it does not end in time.
  int Terminate(const std::string& name, std::chrono::seconds limit);

  /// Runs the binary with arguments and returns its exit status; its standard
  /// output goes to `output`.
  int Command(const std::vector<std::string>& arguments,
              std::string* output = nullptr);
  /// Starts `load` in the background; WaitFor() gives its exit status.
  void StartLoad(const std::vector<std::string>& arguments);
  int WaitForLoad(std::string* output);
  int Submit(const std::string& section, const std::string& bytes,
             std::uint64_t base, int vm, const std::string& team = "operators");
  std::string Section(const std::string& name, int vm);
  std::uint64_t VersionOf(int vm);
  /// Tries until the condition holds; false after 30 s.
  static bool Eventually(const std::function<bool()>& condition);

  static std::string VmName(int number) {
    return "vm-" + std::to_string(number);
  }
  static std::string Callers(int number) {
    return "127.0.0.1:710" + std::to_string(number);
  }
  static std::string Control(int number) {
    return "127.0.0.1:720" + std::to_string(number);
  }
  /// Number of the VM that leads the control group, as `vm` sees it; 0 when
  /// there is none.
  int Leader(int vm);
  /// Times that each idempotency key ran, over all booking endpoints.
  std::map<std::string, int> Runs();

 private:
  std::string SettingsOf(int number) const;
  void Spawn(const std::string& name, const std::vector<std::string>& command,
             const std::string& output_file);

  std::string folder_;
  std::string root_key_;
  std::map<std::string, pid_t> processes_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_TESTS_FLEET_TRIAL_FLEET_H_
