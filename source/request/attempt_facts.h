#ifndef MARJORAMSILL_REQUEST_ATTEMPT_FACTS_H_
#define MARJORAMSILL_REQUEST_ATTEMPT_FACTS_H_

namespace marjoramsill {

/// How an attempt at an endpoint ended.
enum class attempt_end {
  /// No byte of the request was sent.
  kNotSent,
  /// The endpoint reported that it did not run the request.
  kNotRun,
  /// The endpoint returned a failure after running the request.
  kFailed,
  /// No complete response was received; the request may have run.
  kUnknown,
};

/// Input of NextStep(): the last attempt's end and the state of the call.
struct attempt_facts {
  attempt_end end = attempt_end::kUnknown;
  /// The request is safe to run more than once, or its stream can be resumed.
  bool is_repeatable = false;
  /// Part of the response has been sent to the caller.
  bool response_started = false;
  /// Number of attempts so far in which the request was sent.
  int sent = 0;
  int max_attempts = 1;
  /// This or an earlier attempt may have run the request.
  bool may_have_run = false;
  /// The request may be what ended the endpoint of an attempt.
  bool may_crash_endpoints = false;
  /// The deadline has not passed.
  bool has_time = true;
};

/// What the call does after an attempt that did not succeed.
enum class attempt_step {
  /// Make another attempt.
  kTryAgain,
  /// Refuse the request; the caller can rely on it not having run.
  kRefuse,
  /// Forward the endpoint's failure response to the caller.
  kPassOn,
  /// Fail the call; the outcome of the request is unknown.
  kFail,
  /// Abort a response that has already been started.
  kCutOff,
};

/// Name of the step as written to the log.
inline const char* AttemptStepText(attempt_step step) {
  switch (step) {
    case attempt_step::kTryAgain:
      return "try_again";
    case attempt_step::kRefuse:
      return "refuse";
    case attempt_step::kPassOn:
      return "pass_on";
    case attempt_step::kFail:
      return "fail";
    case attempt_step::kCutOff:
      return "cut_off";
  }
  return "unknown";
}

}  // namespace marjoramsill

#endif  // MARJORAMSILL_REQUEST_ATTEMPT_FACTS_H_
