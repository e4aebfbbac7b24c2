#ifndef MARJORAMSILL_TESTS_FLEET_TEST_FLEET_H_
#define MARJORAMSILL_TESTS_FLEET_TEST_FLEET_H_

#include <sys/types.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "commands/control_client.h"
#include "version/signing_key.h"

namespace marjoramsill {

/// Test harness that runs six VMs in three failure domains, five of them
/// control members, and fake endpoints as processes on loopback. The destructor
/// kills all of them.
class test_fleet {
 public:
  static constexpr int kVms = 6;

  /// `memory_mb`: memory of each VM; 0: not in the settings.
  explicit test_fleet(int memory_mb = 0);
  ~test_fleet();
  test_fleet(const test_fleet&) = delete;
  test_fleet& operator=(const test_fleet&) = delete;

  /// Starts all VMs and endpoints and submits a first policy.
  void StartAll();
  void StartVm(int number);
  void StartEndpoint(const std::string& id, const std::string& domain, int port,
                     const std::string& serves,
                     const std::vector<std::string>& options = {});
  /// Sends SIGKILL and waits for the process to end.
  void Kill(const std::string& name);
  /// Sends SIGTERM; returns the exit status, or -1 if the process does not end
  /// within `timeout`.
  int Terminate(const std::string& name, std::chrono::seconds timeout);

  /// Runs the binary with arguments and returns its exit status. `output`
  /// receives its standard output.
  int Command(const std::vector<std::string>& arguments,
              std::string* output = nullptr);
  /// Starts the load command in the background; WaitForLoad() returns its exit
  /// status.
  void StartLoad(const std::vector<std::string>& arguments);
  int WaitForLoad(std::string* output);
  int Submit(const std::string& section, const std::string& bytes,
             std::uint64_t base, int vm, const std::string& team = "operators");
  std::string Section(const std::string& name, int vm);
  std::uint64_t VersionOf(int vm);
  /// Polls until the condition holds; returns false after 30 s.
  static bool WaitUntil(const std::function<bool()>& condition);

  static std::string VmName(int number) {
    return "vm-" + std::to_string(number);
  }
  static std::string Callers(int number) {
    return "127.0.0.1:710" + std::to_string(number);
  }
  static std::string Control(int number) {
    return "127.0.0.1:720" + std::to_string(number);
  }
  /// Number of the VM that leads the control group according to `vm`; 0 if
  /// there is none.
  int Leader(int vm);
  /// A field of the process's status, in kilobytes.
  std::int64_t MemoryKb(const std::string& name, const std::string& field);
  /// How often each idempotency key ran on all booking endpoints together.
  std::map<std::string, int> Runs();

 private:
  std::string SettingsOf(int number) const;
  void Spawn(const std::string& name, const std::vector<std::string>& command,
             const std::string& output_file);

  const int memory_mb_;
  std::string folder_;
  std::string root_key_;
  std::map<std::string, pid_t> processes_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_TESTS_FLEET_TEST_FLEET_H_
