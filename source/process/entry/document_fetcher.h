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

/// Fetches a new routing document from a control process, or from another VM
/// that the control process names. Not thread-safe.
class document_fetcher {
 public:
  /// Called with each document that was received.
  using arrival_hook = std::function<void(const stored_document&)>;
  /// Logs the outcome of one request: "document", "source" (another VM was
  /// named), "nothing" (an empty response) or "no_answer" (no response).
  using log_hook = std::function<void(
      const vm_id& vm, document_version required, const char* outcome)>;

  document_fetcher(control_watcher& members, vm_id self,
                   failure_domain_id domain, arrival_hook on_arrival,
                   log_hook log, std::function<steady_time()> clock);

  /// Starts to fetch a version that some member has announced.
  void Start(document_version version);
  /// Requests a version from the VM that has it in force. Needs no member, so
  /// that a VM which reaches none gets the document as well.
  void FetchFrom(const vm_id& vm, document_version version);
  /// Repeats a request that is due. Call several times a second.
  void Tick(steady_time now);
  /// Version that is being fetched; 0 if none is.
  document_version required() const { return required_; }

 private:
  /// Requests the required version from a member, if one is known to have it.
  void RequestFromMember();
  void RequestFrom(const vm_id& vm);
  void OnResponse(const vm_id& vm, const std::optional<std::string>& response);
  void RetryLater();
  void OnFetched(const vm_id& vm, document_version version,
                 const std::optional<std::string>& response);

  control_watcher& members_;
  const vm_id self_;
  const failure_domain_id domain_;
  const arrival_hook on_arrival_;
  const log_hook log_;
  const std::function<steady_time()> clock_;
  document_version required_;
  steady_time required_since_;
  bool has_open_request_ = false;
  /// A request of FetchFrom() is open.
  bool is_fetching_ = false;
  int failures_ = 0;
  steady_time next_try_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_ENTRY_DOCUMENT_FETCHER_H_
