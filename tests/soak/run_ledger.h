#ifndef MARJORAMSILL_TESTS_SOAK_RUN_LEDGER_H_
#define MARJORAMSILL_TESTS_SOAK_RUN_LEDGER_H_

#include <map>
#include <set>
#include <string>
#include <vector>

namespace marjoramsill::soak {

/// Records which requests endpoints ran and which were refused to callers, and
/// the violations found.
class run_ledger {
 public:
  void RecordRun(const std::string& request) { ++runs_[request]; }
  bool HasRun(const std::string& request) const {
    return runs_.contains(request);
  }
  /// Records the software version of an endpoint that sends events of the
  /// stream that began with `stream`. Events of two versions do not fit
  /// together.
  void RecordStreamRun(const std::string& stream, const std::string& software) {
    const auto [begun, is_first] = software_.try_emplace(stream, software);
    if (is_first || begun->second == software) return;
    RecordViolation("stream " + stream + " began at " + begun->second +
                    " and goes on at " + software);
  }
  /// Records that a request that may run at most once was refused as not run.
  void RecordRefusal(const std::string& request) { refused_.insert(request); }
  /// Records that the fleet violated a guarantee.
  void RecordViolation(const std::string& text) { violations_.push_back(text); }

  /// Checks the requests that may run at most once, whose ids start with
  /// `once`: none ran twice, and none ran after it was refused as not run.
  void CheckRuns(const std::string& once) {
    for (const auto& [request, count] : runs_) {
      if (!request.starts_with(once)) continue;
      if (count > 1) RecordViolation("ran twice: " + request);
      if (refused_.contains(request)) {
        RecordViolation("refused as not run, but ran: " + request);
      }
    }
  }

  const std::vector<std::string>& violations() const { return violations_; }

 private:
  std::map<std::string, int> runs_;
  std::map<std::string, std::string> software_;
  std::set<std::string> refused_;
  std::vector<std::string> violations_;
};

}  // namespace marjoramsill::soak

#endif  // MARJORAMSILL_TESTS_SOAK_RUN_LEDGER_H_
