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

  document_fetcher(control_watcher& members, failure_domain_id domain,
                   arrival_hook on_arrival, std::function<steady_time()> clock);

  /// `member` has the document of that version.
  void Start(const vm_id& member, document_version version);
  /// Asks again where that is due. Call several times a second.
  void Tick(steady_time now);
  /// Version that is being fetched; 0 if none is.
  document_version wanted() const { return wanted_; }

 private:
  void Ask(const vm_id& vm);
  void OnAnswer(const std::optional<std::string>& answer);
  void RetryLater();

  control_watcher& members_;
  const failure_domain_id domain_;
  const arrival_hook on_arrival_;
  const std::function<steady_time()> clock_;
  document_version wanted_;
  vm_id member_;
  bool is_asking_ = false;
  int failures_ = 0;
  steady_time next_try_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_ENTRY_DOCUMENT_FETCHER_H_
