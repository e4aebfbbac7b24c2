#ifndef MARJORAMSILL_TESTS_SOAK_RUN_LEDGER_H_
#define MARJORAMSILL_TESTS_SOAK_RUN_LEDGER_H_

#include <map>
#include <set>
#include <string>
#include <vector>

namespace marjoramsill::soak {

/// What endpoints ran and what callers were told, and whether the two agree.
class run_ledger {
 public:
  void NoteRun(const std::string& request) { ++runs_[request]; }
  bool HasRun(const std::string& request) const {
    return runs_.contains(request);
  }
  /// A request that may run once was refused as not run.
  void NoteRefused(const std::string& request) { refused_.insert(request); }
  /// A promise was broken.
  void NoteViolation(const std::string& text) { violations_.push_back(text); }

  /// Checks the requests that may run once; `once` begins their ids.
  void CheckRuns(const std::string& once) {
    for (const auto& [request, count] : runs_) {
      if (!request.starts_with(once)) continue;
      if (count > 1) NoteViolation("ran twice: " + request);
      if (refused_.contains(request)) {
        NoteViolation("refused as not run, but ran: " + request);
      }
    }
  }

  const std::vector<std::string>& violations() const { return violations_; }

 private:
  std::map<std::string, int> runs_;
  std::set<std::string> refused_;
  std::vector<std::string> violations_;
};

}  // namespace marjoramsill::soak

#endif  // MARJORAMSILL_TESTS_SOAK_RUN_LEDGER_H_
