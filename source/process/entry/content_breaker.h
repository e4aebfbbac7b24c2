#ifndef MARJORAMSILL_PROCESS_ENTRY_CONTENT_BREAKER_H_
#define MARJORAMSILL_PROCESS_ENTRY_CONTENT_BREAKER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "process/directory/content_fault.h"
#include "process/directory/content_fault_store.h"
#include "process/entry/content_refusal.h"
#include "process/entry/request_content.h"
#include "types/random_source.h"
#include "types/steady_time.h"

namespace marjoramsill {

/// Circuit breaker for content that crashes the endpoints which begin to run a
/// request with it: a prompt part that requests share, or one request that is
/// sent again and again. Content on which some answer was completed is sound.
///
/// Endpoints that ended under the same content, anywhere in the fleet and
/// without an answer in between, decide: after kSharedEnds such requests are
/// not sent again, after kOpenEnds new ones are refused, apart from single
/// trials.
class content_breaker {
 public:
  explicit content_breaker(random_source random);

  /// True if anything is known against any content.
  bool HasFaults() const { return faults_.size() > 0; }
  /// Decides whether a new request may be sent. Returns why if it must be
  /// refused. May let a request pass as a trial.
  /// `entry_count`: entry VMs that make trials independently.
  std::optional<content_refusal> Admit(const request_content& content,
                                       std::uint32_t entry_count,
                                       steady_time now);
  /// Whether a request may be sent to another endpoint. `endpoint_ended`: an
  /// endpoint has ended, as far as is known, before its answer was complete.
  /// Then an earlier answer has to show that the request is sound: one on each
  /// part, or on the request if its prompt has none.
  bool MayRepeat(const request_content& content, bool endpoint_ended,
                 steady_time now) const;
  /// The content that may have crashed an endpoint which has ended under a
  /// request with it.
  std::vector<content_digest> Suspects(const request_content& content,
                                       steady_time now) const;
  /// An endpoint ended that had requests with this content.
  void RecordEnd(endpoint_run_digest run,
                 const std::vector<content_digest>& suspects, steady_time now);
  /// Those of the suspects on which no answer was completed here since then.
  std::vector<content_digest> UnansweredSince(
      steady_time since, const std::vector<content_digest>& suspects) const;
  /// A successful answer to a request with this content was completed.
  void RecordAnswer(const request_content& content, steady_time now);
  /// Merges what other VMs know.
  void Merge(const std::vector<content_fault>& faults, steady_time now);

  /// What this process knows against content, in the order of its changes.
  const content_fault_store& faults() const { return faults_; }
  /// Number of the last change here that the other VMs should know at once. The
  /// others go with watch requests: control processes have little time for more
  /// messages when many endpoints end.
  std::uint64_t last_own_change() const { return last_own_change_; }
  void Expire(steady_time now);

 private:
  /// The time during which requests with some content are refused.
  struct open_time {
    std::size_t ends = 0;
    steady_time until;
  };

  bool WasAnswered(content_digest content, steady_time::duration within,
                   steady_time now) const;
  /// What is known against it, if it must be refused now.
  const content_fault* FindOpen(content_digest content,
                                std::uint32_t entry_count, steady_time now);
  /// Ends that no other suspected content explains, apart from what the request
  /// has as well.
  std::size_t CountUnexplained(const content_fault& fault,
                               const request_content& request) const;
  /// True if endpoints kept ending under it, without an answer lately.
  bool IsSuspected(content_digest content, steady_time now) const;
  void RecordAnswerOn(content_digest content, steady_time now);
  /// True if the content is refused now. Starts its open time, and a new one
  /// with each trial.
  bool IsOpen(const content_fault& fault, std::uint32_t entry_count,
              steady_time now);
  /// An answer on the content was completed here.
  void Clear(content_digest content, steady_time now);
  steady_time::duration OpenTime(std::size_t ends, std::uint32_t entry_count);

  const random_source random_;
  content_fault_store faults_;
  std::uint64_t last_own_change_ = 0;
  steady_time next_expiry_;
  std::unordered_map<content_digest, open_time> open_;
  /// When an answer on a part, or on a suspected request, was last completed
  /// here.
  std::unordered_map<content_digest, steady_time> answered_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_ENTRY_CONTENT_BREAKER_H_
