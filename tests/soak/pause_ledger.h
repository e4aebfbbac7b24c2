#ifndef MARJORAMSILL_TESTS_SOAK_PAUSE_LEDGER_H_
#define MARJORAMSILL_TESTS_SOAK_PAUSE_LEDGER_H_

#include <chrono>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace marjoramsill::soak {

/// Records the pauses that endpoints ask VMs for, and the requests that reach
/// them meanwhile: those from half a second after the refusal to the end of the
/// pause count, by the rule of the users.
class pause_ledger {
 public:
  using time_point = std::chrono::steady_clock::time_point;

  /// Requests of one VM that may reach an endpoint in one pause.
  static constexpr int kAllowedArrivals = 2;

  /// The endpoint turned a request of the VM away and asked for a pause.
  void TurnAway(const std::string& vm, const std::string& endpoint,
                double seconds, time_point now);
  /// A request of the VM reaches the endpoint.
  void Arrive(const std::string& vm, const std::string& endpoint,
              time_point now);
  /// The VM was killed, paused or cut off, which ends its pauses.
  void ExcuseVm(const std::string& vm);
  /// The endpoint starts, and has not asked for anything.
  void StartEndpoint(const std::string& endpoint);

  /// Most requests of a VM that reached an endpoint in one pause.
  int most_arrivals() const { return most_arrivals_; }
  int pause_count() const { return pause_count_; }

 private:
  struct pause {
    time_point counts_from;
    time_point end;
    int arrivals = 0;
  };

  std::map<std::pair<std::string, std::string>, std::vector<pause>> pauses_;
  int most_arrivals_ = 0;
  int pause_count_ = 0;
};

}  // namespace marjoramsill::soak

#endif  // MARJORAMSILL_TESTS_SOAK_PAUSE_LEDGER_H_
