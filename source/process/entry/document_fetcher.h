#ifndef MARJORAMSILL_PROCESS_ENTRY_DOCUMENT_FETCHER_H_
#define MARJORAMSILL_PROCESS_ENTRY_DOCUMENT_FETCHER_H_

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "process/controller/document_request.h"
#include "process/controller/stored_document.h"
#include "process/directory/document_holder.h"
#include "types/ids.h"
#include "types/steady_time.h"

namespace marjoramsill {

struct document_fetch_outcome;

/// Fetches a new routing document from a control process, or from another VM
/// that the control process names. Not thread-safe.
class document_fetcher {
 public:
  /// Receives the response, or nothing after a failure or the timeout.
  using response_hook =
      std::function<void(const std::optional<std::string>& response)>;

  struct hooks {
    /// Control processes that can be reached at this time.
    std::function<std::vector<reachable_member>(steady_time now)> members;
    /// Sends an encoded document_request to a VM.
    std::function<void(const vm_id& vm, std::string body,
                       std::chrono::milliseconds timeout, response_hook done)>
        request;
    /// Time in which a source that is named to several VMs sends them a
    /// document like the one in force.
    std::function<std::chrono::microseconds()> forward_time;
    /// Called with each document that was received.
    std::function<void(const stored_document&)> on_arrival;
    std::function<void(const document_fetch_outcome&)> log;
    std::function<steady_time()> clock;
  };

  document_fetcher(vm_id self, failure_domain_id domain, hooks callbacks);

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
  /// Requests it from a VM that a member named.
  void RequestFromSource(const vm_id& vm);
  void Request(const vm_id& vm, response_hook done);
  void OnDocument(const stored_document& document);
  void OnResponse(const vm_id& vm, steady_time asked_at,
                  const std::optional<std::string>& response);
  /// Time after which a source counts as silent.
  std::chrono::microseconds SourceTime() const;
  void RetryLater();
  void OnFetched(const vm_id& vm, document_version version,
                 steady_time asked_at,
                 const std::optional<std::string>& response);
  void Log(const vm_id& vm, document_version required, const char* outcome,
           steady_time asked_at) const;

  const vm_id self_;
  const failure_domain_id domain_;
  const hooks hooks_;
  document_version required_;
  steady_time required_since_;
  bool has_member_request_ = false;
  /// VM that a member named, while its response is awaited.
  vm_id source_;
  steady_time source_asked_at_;
  /// Sources of the required version that did not answer in time.
  std::vector<vm_id> silent_sources_;
  /// No request of FetchFrom() is sent before then: an open one may still be
  /// answered.
  steady_time next_fetch_;
  int failures_ = 0;
  steady_time next_try_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_ENTRY_DOCUMENT_FETCHER_H_
