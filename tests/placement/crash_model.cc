#include "crash_model.h"

#include <algorithm>
#include <string>
#include <utility>

#include "process/directory/content_trial_request.h"

namespace marjoramsill {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kVms = 8;
constexpr std::size_t kEndpoints = 24;
constexpr std::size_t kMembers = 3;
constexpr std::size_t kDomains = 3;
constexpr std::size_t kMaxAttempts = 20;
constexpr milliseconds kStep{25};
constexpr milliseconds kHeartbeatInterval{1'200};
constexpr milliseconds kReturnTime{3'400};
constexpr milliseconds kDuration{300};
constexpr milliseconds kCrashDelay{50};
constexpr milliseconds kExchangeInterval{300};
constexpr milliseconds kContactTime{4'000};
/// A VM sends one about every 4 s, so that most have no answer of the last 2 s.
constexpr std::uint64_t kSoundParts = 160;
constexpr std::uint64_t kCrashingContent = 999;
/// The control processes started this long before the model.
constexpr std::chrono::seconds kMemberAge{60};

content_digest FirstOf(const request_content& content) {
  return content.parts.empty() ? content.request : content.parts.front();
}

}  // namespace

crash_model::entry_vm::entry_vm(content_trial_requester::hooks hooks)
    : breaker([] { return std::uint64_t{0}; }), trials(std::move(hooks)) {}

crash_model::crash_model(settings play) : settings_(std::move(play)) {
  RestartVms();
  for (std::size_t i = 0; i < kMembers; ++i) {
    members_.push_back(std::make_unique<endpoint_directory>());
    leases_.emplace_back(start_ - kMemberAge);
  }
  for (std::size_t i = 0; i < kEndpoints; ++i) {
    endpoint_state added;
    added.record.id = endpoint_id("i-" + std::to_string(i));
    added.record.pool = model_id("m");
    added.record.address = "127.0.0.1:" + std::to_string(7'000 + i);
    added.record.domain = failure_domain_id("d" + std::to_string(i % kDomains));
    added.record.incarnation = incarnation_number(1'000);
    added.next_heartbeat = now_ + kHeartbeatInterval * i / kEndpoints;
    endpoints_.push_back(added);
  }
}

void crash_model::RestartVms() {
  vms_.clear();
  requests_.clear();
  for (std::size_t i = 0; i < kVms; ++i) {
    vms_.push_back(std::make_unique<entry_vm>(TrialHooks(i)));
  }
}

content_trial_requester::hooks crash_model::TrialHooks(std::size_t vm) {
  content_trial_requester::hooks hooks;
  hooks.members = [](steady_time /*now*/) {
    std::vector<reachable_member> members(kMembers);
    for (std::size_t i = 0; i < kMembers; ++i) {
      members[i].vm = vm_id(std::to_string(i));
    }
    return members;
  };
  hooks.group_size = [] { return kMembers; };
  hooks.entry_count = [] { return static_cast<std::uint32_t>(kVms); };
  hooks.request = [this, vm](const vm_id& member, const std::string& body,
                             milliseconds /*timeout*/, const auto& done) {
    done(OnTrialMessage(vm, member, body));
  };
  hooks.clock = [this] { return now_; };
  return hooks;
}

std::string crash_model::OnTrialMessage(std::size_t vm, const vm_id& member,
                                        const std::string& body) {
  const auto request = DecodeContentTrials(body);
  const vm_id from("entry-" + std::to_string(vm));
  content_trial_leases& leases = leases_[std::stoul(member.value())];
  if (request->action == content_trial_action::kRelease) {
    leases.Release(from, *request, now_);
    return {};
  }
  const bool is_granted = leases.Acquire(from, *request, now_);
  return is_granted ? std::string(kTrialGranted) : std::string();
}

crash_model::prompt crash_model::NextPrompt(bool is_crashing) {
  const prompt_hook& hook =
      is_crashing ? settings_.crashing_prompt : settings_.sound_prompt;
  const std::uint64_t random = random_();
  if (hook) {
    return hook(std::chrono::duration_cast<milliseconds>(now_ - start_),
                random);
  }
  return {content_digest(is_crashing ? kCrashingContent
                                     : 1 + random % kSoundParts)};
}

bool crash_model::IsAdmitted(std::size_t vm, const request_content& content,
                             std::optional<content_trial_request>& granted) {
  const auto refusal = vms_[vm]->breaker.Admit(content, kVms, now_);
  if (!refusal) return true;
  if (refusal->trials.empty()) return false;
  vms_[vm]->trials.Request(
      refusal->trials, [&granted](const auto& leases) { granted = leases; });
  if (granted) ++trials_;
  return granted.has_value();
}

bool crash_model::HasLink(std::size_t vm, std::size_t endpoint) const {
  if (!settings_.has_link) return true;
  const auto at = std::chrono::duration_cast<milliseconds>(now_ - start_);
  return settings_.has_link(vm, endpoint, at);
}

void crash_model::Run(milliseconds duration) {
  const steady_time end = now_ + duration;
  while (now_ < end) Step();
}

std::size_t crash_model::CountAfter(
    const std::vector<crashing_arrival>& crashes,
    const std::vector<crashing_arrival>& sent, std::size_t crash) {
  if (crashes.size() < crash) return 0;
  const steady_time from = crashes[crash - 1].at + kContactTime;
  return static_cast<std::size_t>(std::count_if(
      sent.begin(), sent.end(),
      [from](const crashing_arrival& each) { return each.at > from; }));
}

std::size_t crash_model::ReachedAfter(std::size_t crash) const {
  return CountAfter(crashes_, crashing_sent_, crash);
}

std::size_t crash_model::ReachedAfter(std::size_t crash,
                                      content_digest first) const {
  const auto is_other = [first](const crashing_arrival& each) {
    return each.first != first;
  };
  std::vector<crashing_arrival> crashes = crashes_;
  std::vector<crashing_arrival> sent = crashing_sent_;
  std::erase_if(crashes, is_other);
  std::erase_if(sent, is_other);
  return CountAfter(crashes, sent, crash);
}

void crash_model::Step() {
  now_ += kStep;
  TickEndpoints();
  TickRequests();
  for (std::size_t vm = 0; vm < kVms; ++vm) {
    Send(vm, false);
    TickVm(vm);
  }
  if (settings_.crash_interval.count() > 0 && now_ >= next_crashing_) {
    next_crashing_ = now_ + settings_.crash_interval;
    Send(random_() % kVms, true);
  }
  if (now_ >= next_exchange_) {
    next_exchange_ = now_ + kExchangeInterval;
    ExchangeRecords();
  }
}

void crash_model::TickEndpoints() {
  for (std::size_t i = 0; i < kEndpoints; ++i) {
    endpoint_state& each = endpoints_[i];
    if (!each.is_up && now_ >= each.returns_at) {
      each.is_up = true;
      each.record.incarnation =
          incarnation_number(each.record.incarnation.value() + 1);
      each.record.sequence = 0;
      each.next_heartbeat = now_;
    }
    if (!each.is_up || now_ < each.next_heartbeat) continue;
    ++each.record.sequence;
    each.next_heartbeat = now_ + kHeartbeatInterval;
    members_[i % kMembers]->ReceiveHeartbeat(each.record, now_);
  }
}

void crash_model::Crash(const open_request& request) {
  endpoint_state& crashed = endpoints_[request.endpoint];
  if (!crashed.is_up) return;
  crashed.is_up = false;
  crashed.returns_at = now_ + kReturnTime;
  crashes_.push_back({now_, FirstOf(request.content)});
}

void crash_model::Send(std::size_t vm, bool is_crashing) {
  open_request request;
  request.vm = vm;
  request.is_crashing = is_crashing;
  request.sent_at = now_;
  request.content.request = content_digest(++last_content_);
  if (is_crashing && settings_.is_identical) {
    request.content.request = content_digest(kCrashingContent);
  } else {
    request.content.parts = NextPrompt(is_crashing);
    if (request.content.parts.empty()) return;
  }
  if (!is_crashing) ++sent_sound_;
  std::optional<content_trial_request> granted;
  if (!IsAdmitted(vm, request.content, granted)) {
    if (!is_crashing) ++refused_sound_;
    return;
  }
  for (std::size_t attempt = 0; attempt < kMaxAttempts; ++attempt) {
    request.endpoint = random_() % kEndpoints;
    // An endpoint that refuses the connection gets no request.
    if (!endpoints_[request.endpoint].is_up) continue;
    if (!HasLink(vm, request.endpoint)) continue;
    if (is_crashing) {
      crashing_sent_.push_back({now_, FirstOf(request.content)});
    }
    requests_.push_back(request);
    return;
  }
  if (granted) vms_[vm]->trials.Release(*granted);
}

void crash_model::OnBroken(const open_request& request) {
  ++broken_;
  entry_vm& vm = *vms_[request.vm];
  const endpoint_record& record = endpoints_[request.endpoint].record;
  const auto suspects = vm.breaker.Suspects(request.content, now_);
  if (settings_.counts_refusals) {
    vm.breaker.RecordEnd(DigestOfRun(record), suspects, now_);
  } else {
    vm.evidence.OnRefused(record, suspects, now_);
  }
}

void crash_model::TickRequests() {
  for (const open_request& each : requests_) {
    const bool is_due = now_ - each.sent_at >= kCrashDelay;
    if (each.is_crashing && is_due) Crash(each);
  }
  std::erase_if(requests_, [this](const open_request& each) {
    const bool is_up = endpoints_[each.endpoint].is_up;
    if (!is_up || !HasLink(each.vm, each.endpoint)) {
      OnBroken(each);
      return true;
    }
    if (now_ - each.sent_at < kDuration) return false;
    vms_[each.vm]->breaker.RecordAnswer(each.content, now_);
    responses_.emplace_back(each.endpoint, now_);
    return true;
  });
}

void crash_model::Probe(std::size_t vm) {
  crash_evidence& evidence = vms_[vm]->evidence;
  for (const endpoint_record& record : evidence.TakeProbes(now_)) {
    for (std::size_t i = 0; i < kEndpoints; ++i) {
      const bool is_target = endpoints_[i].record.id == record.id;
      if (is_target && endpoints_[i].is_up && HasLink(vm, i)) {
        evidence.OnReached(DigestOfRun(record));
      }
    }
  }
}

void crash_model::TickVm(std::size_t vm) {
  entry_vm& each = *vms_[vm];
  Probe(vm);
  for (const heartbeat_question& asked : each.evidence.TakeQuestions(now_)) {
    if (!settings_.has_answers) continue;
    endpoint_record endpoint;
    endpoint.id = asked.id;
    endpoint.incarnation = asked.incarnation;
    for (const auto& member : members_) {
      each.evidence.OnHeartbeats(
          DigestOfRun(endpoint),
          member->HeartbeatsSince(asked.id, asked.incarnation,
                                  now_ - asked.period));
    }
  }
  for (const crash_decision& decision :
       each.evidence.TakeDecisions(kMembers, now_)) {
    if (!IsCrash(decision.finding)) continue;
    each.breaker.RecordEnd(
        DigestOfRun(decision.endpoint),
        each.breaker.UnansweredSince(decision.refused_at, decision.suspects),
        now_);
  }
  each.breaker.Expire(now_);
}

/// Records, load reports and content records pass through the control
/// processes.
void crash_model::ExchangeRecords() {
  for (const auto& member : members_) member->Expire(now_);
  for (const auto& vm : vms_) {
    for (const content_fault& fault :
         vm->breaker.faults().TakeAfter(vm->sent)) {
      shared_.Merge(fault, now_);
    }
  }
  for (const auto& vm : vms_) {
    for (const auto& member : members_) {
      for (const endpoint_record& record : member->ChangesAfter(0)) {
        vm->directory.Merge(record, now_);
      }
    }
    for (const endpoint_record& record :
         vm->directory.ChangesAfter(vm->applied)) {
      vm->evidence.OnRecord(record);
    }
    vm->applied = vm->directory.last_change();
    vm->breaker.Merge(shared_.TakeSharedAfter(vm->taken), now_);
    for (const auto& [at, time] : responses_) {
      vm->evidence.OnReport(DigestOf(endpoints_[at].record.id), time);
    }
  }
  responses_.clear();
}

}  // namespace marjoramsill
