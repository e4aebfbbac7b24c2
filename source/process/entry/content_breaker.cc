#include "process/entry/content_breaker.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace marjoramsill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Endpoints that must have ended under some content, without an answer in
/// between, before requests with it are refused. One or two also happen to
/// sound requests when endpoints fail in a row.
constexpr std::size_t kOpenEnds = kUrgentEnds;
/// From this number on no trial is made for kLongOpenTime.
constexpr std::size_t kNoTrialEnds = 5;
/// Ends that other content must have to explain one of them. A single end shows
/// little, since each request brings content of its own.
constexpr std::size_t kExplainingEnds = kSharedEnds;
/// Endpoints that may have ended by themselves under content whose other ends
/// are explained.
constexpr std::size_t kMaxUnexplainedEnds = 1;
constexpr seconds kOpenTime{10};
constexpr seconds kLongOpenTime{600};
/// The trials of all entry VMs are spread over this time for each of them, so
/// that the outcome of one is known before the next.
constexpr milliseconds kTrialSpacing{1'000};
/// An answer within this time shows that content is sound, whatever ended
/// meanwhile: parts that most requests share are answered several times in it.
constexpr seconds kRecentAnswer{2};
/// An answer within this time is enough to repeat a request.
constexpr seconds kProvenAnswer{60};
/// Expired entries are removed this often.
constexpr seconds kExpiryInterval{1};
/// Memory for answered content, about 2 MB.
constexpr std::size_t kMaxAnswered = 30'000;

/// The shared parts, and the request itself.
std::vector<content_digest> ContentsOf(const request_content& request) {
  std::vector<content_digest> contents = request.parts;
  contents.push_back(request.request);
  return contents;
}

}  // namespace

content_breaker::content_breaker(random_source random)
    : random_(std::move(random)) {}

bool content_breaker::WasAnswered(content_digest content,
                                  steady_time::duration within,
                                  steady_time now) const {
  const auto found = answered_.find(content);
  return found != answered_.end() && now - found->second <= within;
}

std::optional<content_refusal> content_breaker::Admit(
    const request_content& content, std::uint32_t entry_count,
    steady_time now) {
  if (!HasFaults()) return std::nullopt;
  std::optional<content_refusal> refusal;
  for (const content_digest each : ContentsOf(content)) {
    const content_fault* fault = FindOpen(each, entry_count, now);
    if (fault == nullptr) continue;
    const std::size_t unexplained = CountUnexplained(*fault, content);
    const bool may_be_sound = unexplained <= kMaxUnexplainedEnds &&
                              fault->ends.size() < kMaxContentEnds;
    if (!may_be_sound) return content_refusal{*fault, unexplained, {}};
    if (!refusal) refusal = content_refusal{*fault, unexplained, {}};
    refusal->trials.push_back({each, fault->clearances});
  }
  return refusal;
}

std::size_t content_breaker::CountUnexplained(
    const content_fault& fault, const request_content& request) const {
  const auto explained =
      faults_.EndsOfOthers(kExplainingEnds, ContentsOf(request));
  const auto is_unexplained = [&explained](endpoint_run_digest run) {
    return !explained.contains(run);
  };
  return static_cast<std::size_t>(
      std::count_if(fault.ends.begin(), fault.ends.end(), is_unexplained));
}

const content_fault* content_breaker::FindOpen(content_digest content,
                                               std::uint32_t entry_count,
                                               steady_time now) {
  const content_fault* fault = faults_.Find(content);
  if (fault == nullptr || fault->ends.size() < kOpenEnds) return nullptr;
  if (WasAnswered(content, kRecentAnswer, now)) return nullptr;
  faults_.Refresh(content, now);
  return IsOpen(*fault, entry_count, now) ? fault : nullptr;
}

bool content_breaker::IsOpen(const content_fault& fault,
                             std::uint32_t entry_count, steady_time now) {
  open_time& open = open_[fault.content];
  const bool has_new_end = fault.ends.size() > open.ends;
  if (!has_new_end && now < open.until) return true;
  open.ends = fault.ends.size();
  open.until = now + OpenTime(open.ends, entry_count);
  return has_new_end;
}

steady_time::duration content_breaker::OpenTime(std::size_t ends,
                                                std::uint32_t entry_count) {
  if (ends >= kNoTrialEnds) return kLongOpenTime;
  const milliseconds spread = kTrialSpacing * entry_count;
  const auto random = random_() % static_cast<std::uint64_t>(spread.count());
  return kOpenTime + milliseconds(random);
}

bool content_breaker::IsSuspected(content_digest content,
                                  steady_time now) const {
  const content_fault* fault = faults_.Find(content);
  return fault != nullptr && fault->ends.size() >= kSharedEnds &&
         !WasAnswered(content, kRecentAnswer, now);
}

bool content_breaker::MayRepeat(const request_content& content,
                                bool endpoint_ended, steady_time now) const {
  if (IsSuspected(content.request, now)) return false;
  for (const content_digest part : content.parts) {
    if (endpoint_ended && !WasAnswered(part, kProvenAnswer, now)) return false;
    if (IsSuspected(part, now)) return false;
  }
  return !endpoint_ended || !content.parts.empty() ||
         WasAnswered(content.request, kProvenAnswer, now);
}

std::vector<content_digest> content_breaker::Suspects(
    const request_content& content, steady_time now) const {
  std::vector<content_digest> found;
  for (const content_digest part : content.parts) {
    if (!WasAnswered(part, kRecentAnswer, now)) found.push_back(part);
  }
  if (!WasAnswered(content.request, kRecentAnswer, now)) {
    found.push_back(content.request);
  }
  return found;
}

void content_breaker::RecordEnd(endpoint_run_digest run,
                                const std::vector<content_digest>& suspects,
                                steady_time now) {
  for (const content_digest content : suspects) {
    faults_.RecordEnd(content, run, now);
    const bool is_repeated = faults_.Find(content)->ends.size() >= kSharedEnds;
    if (is_repeated) last_own_change_ = faults_.last_change();
  }
}

std::vector<content_digest> content_breaker::UnansweredSince(
    steady_time since, const std::vector<content_digest>& suspects) const {
  std::vector<content_digest> unanswered;
  for (const content_digest content : suspects) {
    const auto found = answered_.find(content);
    const bool is_answered = found != answered_.end() && found->second >= since;
    if (!is_answered) unanswered.push_back(content);
  }
  return unanswered;
}

void content_breaker::Clear(content_digest content, steady_time now) {
  const content_fault* fault = faults_.Find(content);
  const bool is_refused = fault != nullptr && fault->ends.size() >= kOpenEnds;
  faults_.Clear(content, now);
  if (is_refused) last_own_change_ = faults_.last_change();
}

void content_breaker::RecordAnswerOn(content_digest content, steady_time now) {
  const auto known = answered_.find(content);
  if (known != answered_.end()) {
    known->second = now;
  } else if (answered_.size() < kMaxAnswered) {
    answered_.emplace(content, now);
  }
  if (HasFaults()) Clear(content, now);
}

void content_breaker::RecordAnswer(const request_content& content,
                                   steady_time now) {
  for (const content_digest part : content.parts) RecordAnswerOn(part, now);
  // Most requests come once; remembering each would use the memory up.
  if (faults_.Find(content.request) != nullptr) {
    RecordAnswerOn(content.request, now);
  }
}

void content_breaker::Merge(const std::vector<content_fault>& faults,
                            steady_time now) {
  for (const content_fault& fault : faults) {
    faults_.Merge(fault, now);
    if (WasAnswered(fault.content, kRecentAnswer, now)) {
      Clear(fault.content, now);
    }
  }
}

void content_breaker::Expire(steady_time now) {
  if (now < next_expiry_) return;
  next_expiry_ = now + kExpiryInterval;
  faults_.Expire(now);
  std::erase_if(open_, [this](const auto& item) {
    return faults_.Find(item.first) == nullptr;
  });
  std::erase_if(answered_, [now](const auto& item) {
    return now - item.second > kProvenAnswer;
  });
}

}  // namespace marjoramsill
