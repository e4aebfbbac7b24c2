#ifndef MARJORAMSILL_REQUEST_PROXIED_CALL_H_
#define MARJORAMSILL_REQUEST_PROXIED_CALL_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "connection/answer_head.h"
#include "connection/call_failure.h"
#include "connection/caller_message.h"
#include "process/entry/call_outcome.h"
#include "process/placement/request_demand.h"
#include "request/attempt_facts.h"
#include "request/event_splitter.h"
#include "types/ids.h"
#include "types/steady_time.h"

namespace marjoramsill {

class caller_connection;
class endpoint_connection;
class endpoint_pool;
class log_fields;
class routing_table;
struct call_environment;
struct placement_choice;
struct route_rule;
struct workspace_spec;

/// One request of a caller from its arrival to the end of its answer: finds
/// the route, chooses endpoints, makes the attempts that the rules allow and
/// passes the answer on. Used from the thread of the entry process only.
class proxied_call : public std::enable_shared_from_this<proxied_call> {
 public:
  proxied_call(const call_environment& environment,
               std::shared_ptr<caller_connection> caller,
               caller_message message);
  ~proxied_call();
  proxied_call(const proxied_call&) = delete;
  proxied_call& operator=(const proxied_call&) = delete;

  void Start();
  /// Checks the time bounds. Call every `kTickInterval` of the process.
  void Tick(steady_time now);
  /// Ends the call because the process stops.
  void Stop();
  bool is_done() const { return state_ == state::kDone; }

 private:
  enum class state {
    kNew,
    kConnecting,
    kAwaitingHead,
    kReceiving,
    kDone,
  };

  // proxied_call.cc: admission and the end of the call.
  bool FindRoute();
  bool FindWorkspace();
  void SetDeadline();
  void PickPool();
  int Rank() const;
  void Refuse(std::string_view reason, double retry_after_ms);
  void Deny(int status, std::string_view reason);
  void Fail(std::string_view reason);
  void GiveUp();
  void OnCallerGone();
  void Finish(call_outcome outcome, std::string_view reason);
  void LogStep(std::string_view event, const log_fields& fields);

  // proxied_call_attempt.cc: attempts at endpoints.
  void Attempt();
  void OpenConnection(const placement_choice& choice);
  void OnConnected(bool connected);
  void Send();
  std::string RequestBytes() const;
  bool Accepts(const answer_head& head) const;
  void OnHead(const answer_head& head);
  void OnBody(std::string_view data);
  void OnReadEnd();
  void OnEnd();
  void OnFailure(call_failure failure);
  void AfterAttempt(attempt_end end, std::string_view cause);
  void ReleaseEndpoint();
  void DropConnection();
  void CheckStall(steady_time now);
  bool CanTryElsewhere() const;

  // proxied_call_answer.cc: the answer to the caller.
  void BeginAnswer();
  void PassStream(std::string_view data);
  void EndStream();
  void PassBuffered();
  bool IsPromise(int status) const;
  void NoteAnswerBytes();

  const call_environment& environment_;
  std::shared_ptr<caller_connection> caller_;
  const caller_message message_;
  state state_ = state::kNew;

  std::shared_ptr<const routing_table> table_;
  const route_rule* route_ = nullptr;
  const workspace_spec* workspace_ = nullptr;
  std::string request_id_;
  request_demand demand_;
  model_id pool_id_;
  endpoint_pool* pool_ = nullptr;
  steady_time arrived_;
  steady_time deadline_;

  // The present attempt.
  std::shared_ptr<endpoint_connection> connection_;
  endpoint_id endpoint_;
  std::string fetch_from_;
  bool is_counted_ = false;
  steady_time attempt_started_;
  steady_time last_progress_;
  answer_head head_;
  bool is_rejected_ = false;
  bool is_stream_ = false;
  std::string body_;

  // All attempts.
  std::vector<endpoint_id> tried_;
  int sent_ = 0;
  bool may_have_run_ = false;

  // The answer to the caller.
  bool answer_begun_ = false;
  event_splitter events_;
  steady_time last_answer_bytes_;
  std::chrono::microseconds longest_gap_{0};

  /// Log lines of this request. They are written only if it fails, or if it
  /// is one of a sample.
  std::vector<std::string> steps_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_REQUEST_PROXIED_CALL_H_
