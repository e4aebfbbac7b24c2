#ifndef MARJORAMSILL_TESTS_SOAK_PAUSE_LEDGER_H_
#define MARJORAMSILL_TESTS_SOAK_PAUSE_LEDGER_H_

#include <chrono>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace marjoramsill::soak {

/// Records when endpoints ask VMs to send nothing, and the requests that reach
/// them meanwhile, by the rules of the users: those from half a second after a
/// refusal to the end of the pause, and those later than two seconds after an
/// answer that says that the endpoint leaves.
class pause_ledger {
 public:
  using time_point = std::chrono::steady_clock::time_point;

  /// Requests of one VM that may reach an endpoint in one pause.
  static constexpr int kAllowedArrivals = 2;

  /// The endpoint turned a request of the VM away and asked for a pause.
  void TurnAway(const std::string& vm, const std::string& endpoint,
                double seconds, time_point now);
  /// The endpoint said in an answer to the VM that it leaves.
  void AnswerLeaving(const std::string& vm, const std::string& endpoint,
                     time_point now);
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
  /// VMs to which an endpoint said that it leaves.
  int leave_count() const { return leave_count_; }
  /// Requests that reached endpoints too late after such an answer.
  int late_arrivals() const { return late_arrivals_; }

 private:
  struct pause {
    time_point counts_from;
    time_point end;
    int arrivals = 0;
  };

  using link = std::pair<std::string, std::string>;

  /// By VM and endpoint.
  std::map<link, std::vector<pause>> pauses_;
  std::map<link, time_point> left_at_;
  int leave_count_ = 0;
  int late_arrivals_ = 0;
  int most_arrivals_ = 0;
  int pause_count_ = 0;
};

}  // namespace marjoramsill::soak

#endif  // MARJORAMSILL_TESTS_SOAK_PAUSE_LEDGER_H_
