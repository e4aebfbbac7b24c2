#ifndef MARJORAMSILL_PROCESS_ENTRY_CONTENT_TRIAL_REQUESTER_H_
#define MARJORAMSILL_PROCESS_ENTRY_CONTENT_TRIAL_REQUESTER_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "process/directory/content_trial.h"
#include "process/directory/content_trial_request.h"
#include "process/directory/document_holder.h"
#include "types/ids.h"
#include "types/steady_time.h"

namespace marjoramsill {

/// Acquires leases for trials with refused content from most control processes,
/// so that at most one VM makes one at a time. Not thread-safe.
class content_trial_requester {
 public:
  /// Receives the request for leases that is granted: the caller may send one
  /// request with the contents now. Nothing if it may not.
  using decision_hook =
      std::function<void(const std::optional<content_trial_request>& granted)>;
  /// Receives the response, or nothing after a failure or the timeout.
  using response_hook = std::function<void(const std::optional<std::string>&)>;

  struct hooks {
    /// Control processes that can be reached at this time.
    std::function<std::vector<reachable_member>(steady_time now)> members;
    /// Number of control processes in the group.
    std::function<std::size_t()> group_size;
    /// Number of entry VMs in the fleet, as last reported.
    std::function<std::uint32_t()> entry_count;
    /// Sends an encoded content_trial_request to a VM.
    std::function<void(const vm_id& vm, std::string body,
                       std::chrono::milliseconds timeout, response_hook done)>
        request;
    std::function<steady_time()> clock;
  };

  explicit content_trial_requester(hooks callbacks)
      : hooks_(std::move(callbacks)) {}

  /// Calls `done` once, now or later. Denies at once what this VM has asked for
  /// shortly before, or if too few control processes can be reached.
  void Request(const std::vector<content_trial>& trials, decision_hook done);
  /// Gives back leases that were not used.
  void Release(const content_trial_request& granted);

 private:
  struct ballot;

  /// Differs from those before a restart as well.
  std::uint64_t NextNumber(steady_time now);
  bool TakeTurn(const std::vector<content_trial>& trials, steady_time now);
  void OnResponse(const std::shared_ptr<ballot>& open, bool is_granted);
  void Decide(const std::shared_ptr<ballot>& open, bool is_granted);

  const hooks hooks_;
  std::uint64_t last_number_ = 0;
  /// When this VM may ask for the content again.
  std::unordered_map<content_digest, steady_time> next_turns_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_ENTRY_CONTENT_TRIAL_REQUESTER_H_
