#ifndef MARJORAMSILL_TESTS_PLACEMENT_CRASH_MODEL_H_
#define MARJORAMSILL_TESTS_PLACEMENT_CRASH_MODEL_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "process/directory/content_fault_store.h"
#include "process/directory/content_trial_leases.h"
#include "process/directory/endpoint_directory.h"
#include "process/entry/content_breaker.h"
#include "process/entry/content_trial_requester.h"
#include "process/entry/crash_evidence.h"

namespace marjoramsill {

/// Entry VMs, control processes and endpoints of one pool in virtual time.
/// Sound requests have one of some prompt parts; crashing requests end the
/// endpoint that gets them. Endpoints that crash return under a new start after
/// 3.4 s, as in the users' records.
class crash_model {
 public:
  using prompt = std::vector<content_digest>;
  /// Parts of a request that is sent at this time since the start.
  using prompt_hook =
      std::function<prompt(std::chrono::milliseconds at, std::uint64_t random)>;

  /// First content that no sound request has by default.
  static constexpr std::uint64_t kFirstFree = 900;

  struct settings {
    /// Whether this VM has a link to this endpoint; null if it always has.
    std::function<bool(std::size_t vm, std::size_t endpoint,
                       std::chrono::milliseconds at)>
        has_link;
    /// Time between requests that crash; 0 for none.
    std::chrono::milliseconds crash_interval{0};
    /// Crashing requests are one and the same, without a prompt.
    bool is_identical = false;
    /// Control processes answer questions of entry VMs.
    bool has_answers = true;
    /// Every refused connection counts as a crash, without further evidence.
    bool counts_refusals = false;
    /// Null: one part, which is the same for all crashing requests.
    prompt_hook crashing_prompt;
    /// Null: one of 160 parts. An empty prompt sends nothing.
    prompt_hook sound_prompt;
  };

  explicit crash_model(settings play);

  void Run(std::chrono::milliseconds duration);
  /// Starts all entry VMs anew.
  void RestartVms();
  std::size_t refused_sound() const { return refused_sound_; }
  std::size_t sent_sound() const { return sent_sound_; }
  /// Requests that were sent although they have refused content.
  std::size_t trials() const { return trials_; }
  std::size_t crashes() const { return crashes_.size(); }
  /// Requests whose connections broke.
  std::size_t broken() const { return broken_; }
  /// Crashing requests that reached endpoints later than 4 s after the crash
  /// with this number. Counts those with one first part by themselves.
  std::size_t ReachedAfter(std::size_t crash) const;
  std::size_t ReachedAfter(std::size_t crash, content_digest first) const;
  void ResetCounts() { refused_sound_ = sent_sound_ = 0; }

 private:
  struct open_request {
    std::size_t vm = 0;
    std::size_t endpoint = 0;
    request_content content;
    bool is_crashing = false;
    steady_time sent_at;
  };
  struct entry_vm {
    explicit entry_vm(content_trial_requester::hooks hooks);
    content_breaker breaker;
    content_trial_requester trials;
    crash_evidence evidence;
    endpoint_directory directory;
    /// Last changes that were applied, received and sent.
    std::uint64_t applied = 0;
    std::uint64_t taken = 0;
    std::uint64_t sent = 0;
  };
  /// A crashing request that reached an endpoint.
  struct crashing_arrival {
    steady_time at;
    /// Its first part, or the request if it has no prompt.
    content_digest first;
  };
  struct endpoint_state {
    endpoint_record record;
    bool is_up = true;
    steady_time returns_at;
    steady_time next_heartbeat;
  };

  content_trial_requester::hooks TrialHooks(std::size_t vm);
  /// Handles the message of a VM at a control process.
  std::string OnTrialMessage(std::size_t vm, const vm_id& member,
                             const std::string& body);
  bool HasLink(std::size_t vm, std::size_t endpoint) const;
  prompt NextPrompt(bool is_crashing);
  /// `granted` receives the leases of a trial.
  bool IsAdmitted(std::size_t vm, const request_content& content,
                  std::optional<content_trial_request>& granted);
  void Step();
  void TickEndpoints();
  void Crash(const open_request& request);
  static std::size_t CountAfter(const std::vector<crashing_arrival>& crashes,
                                const std::vector<crashing_arrival>& sent,
                                std::size_t crash);
  void Send(std::size_t vm, bool is_crashing);
  void TickRequests();
  void OnBroken(const open_request& request);
  void Probe(std::size_t vm);
  void TickVm(std::size_t vm);
  void ExchangeRecords();

  const settings settings_;
  std::mt19937_64 random_{20261207};
  const steady_time start_{std::chrono::seconds(1'000)};
  steady_time now_ = start_;
  std::vector<std::unique_ptr<entry_vm>> vms_;
  std::vector<endpoint_state> endpoints_;
  std::vector<std::unique_ptr<endpoint_directory>> members_;
  std::vector<content_trial_leases> leases_;
  content_fault_store shared_;
  std::deque<open_request> requests_;
  /// Endpoints that responded since the last exchange.
  std::vector<std::pair<std::size_t, steady_time>> responses_;
  std::vector<crashing_arrival> crashes_;
  std::vector<crashing_arrival> crashing_sent_;
  steady_time next_crashing_ = start_ + std::chrono::seconds(3);
  steady_time next_exchange_ = start_;
  std::uint64_t last_content_ = 1'000'000;
  std::size_t refused_sound_ = 0;
  std::size_t sent_sound_ = 0;
  std::size_t trials_ = 0;
  std::size_t broken_ = 0;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_TESTS_PLACEMENT_CRASH_MODEL_H_
