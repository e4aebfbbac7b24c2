#ifndef MARJORAMSILL_PROCESS_ENTRY_DOCUMENT_FETCHER_H_
#define MARJORAMSILL_PROCESS_ENTRY_DOCUMENT_FETCHER_H_

#include <functional>
#include <optional>
#include <string>

#include "process/controller/stored_document.h"
#include "types/ids.h"
#include "types/steady_time.h"

namespace marjoramsill {

class control_watcher;

/// Gets a new document from a control process, or from a VM that it names.
/// Used from the thread of the process.
class document_fetcher {
 public:
  using arrival_hook = std::function<void(const stored_document&)>;
  /// Outcome of one request, for the log: "document", "source",
  /// "nothing" or "no_answer".
  using log_hook = std::function<void(
      const vm_id& asked, document_version wanted, const char* outcome)>;

  document_fetcher(control_watcher& members, vm_id self,
                   failure_domain_id domain, arrival_hook on_arrival,
                   log_hook log, std::function<steady_time()> clock);

  /// Some member has announced the version.
  void Start(document_version version);
  /// Asks again where that is due. Call several times a second.
  void Tick(steady_time now);
  /// Version that is being fetched; 0 if none is.
  document_version wanted() const { return wanted_; }

 private:
  /// Asks a member for the version wanted, if one is known to have it.
  void AskHolder();
  void Ask(const vm_id& vm);
  void OnAnswer(const vm_id& asked, const std::optional<std::string>& answer);
  void RetryLater();

  control_watcher& members_;
  const vm_id self_;
  const failure_domain_id domain_;
  const arrival_hook on_arrival_;
  const log_hook log_;
  const std::function<steady_time()> clock_;
  document_version wanted_;
  steady_time wanted_since_;
  bool is_asking_ = false;
  int failures_ = 0;
  steady_time next_try_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_ENTRY_DOCUMENT_FETCHER_H_
