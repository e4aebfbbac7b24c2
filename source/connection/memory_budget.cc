#include "connection/memory_budget.h"

#include <algorithm>
#include <optional>
#include <tuple>
#include <utility>

#include "connection/large_buffer.h"
#include "connection/memory_account.h"

namespace marjoramsill {
namespace {

constexpr std::size_t kMegabyte = std::size_t{1024} * 1024;
/// Largest limit of a process whose settings do not name the memory of its VM.
constexpr std::size_t kDefaultLimit = 512 * kMegabyte;
/// 64 MB on a VM of 160 MB. The process needs up to 16 MB besides at 90 entry
/// VMs (docs/CAPACITY.md), and up to 26 MB for 2,600 connections without
/// requests; the rest is for the growth of buffers and the system.
constexpr double kLimitShare = 0.4;
/// A connection that holds less is not closed before larger ones because it is
/// stalled: many closes would release next to nothing.
constexpr std::size_t kMinStalledBytes = kMaxKeptBuffer;
/// Larger requests use 7/8 of the limit at most. Otherwise large bodies that
/// are held up to the limit would keep ordinary requests out.
constexpr std::size_t kSmallRequestBytes = std::size_t{64} * 1024;
constexpr std::size_t kReservedDivisor = 8;
constexpr std::uint64_t kMinRetryMs = 500;
constexpr std::uint64_t kRetrySpreadMs = 1'500;

std::size_t ShareOf(std::size_t bytes) {
  return static_cast<std::size_t>(kLimitShare * static_cast<double>(bytes));
}

}  // namespace

std::string_view MemoryKindText(memory_kind kind) {
  switch (kind) {
    case memory_kind::kIncomingRequests:
      return "incoming_requests";
    case memory_kind::kHeldRequests:
      return "held_requests";
    case memory_kind::kUnsentResponses:
      return "unsent_responses";
    case memory_kind::kEndpointResponses:
      return "endpoint_responses";
  }
  return "";
}

std::string_view MemoryCloseReasonText(memory_close_reason reason) {
  switch (reason) {
    case memory_close_reason::kStalled:
      return "stalled";
    case memory_close_reason::kIncoming:
      return "incoming";
    case memory_close_reason::kResponse:
      return "response";
    case memory_close_reason::kRefused:
      return "refused";
  }
  return "";
}

memory_budget::memory_budget(std::size_t limit, random_source random)
    : limit_(limit), random_(std::move(random)) {}

std::size_t memory_budget::LimitFor(std::uint32_t memory_mb,
                                    std::optional<std::size_t> machine_bytes) {
  if (memory_mb > 0) return ShareOf(memory_mb * kMegabyte);
  if (!machine_bytes) return kDefaultLimit;
  return std::min(kDefaultLimit, ShareOf(*machine_bytes));
}

void memory_budget::Add(memory_account& account) { accounts_.insert(&account); }

void memory_budget::Remove(memory_account& account) {
  accounts_.erase(&account);
}

void memory_budget::Change(memory_kind kind, std::size_t from, std::size_t to) {
  std::size_t& held = held_[static_cast<std::size_t>(kind)];
  held = held - from + to;
  total_ = total_ - from + to;
}

std::optional<memory_close_reason> memory_budget::ReasonToClose(
    const memory_account& account, steady_time now) const {
  const bool is_incoming = account.held(memory_kind::kIncomingRequests) > 0;
  const bool is_unsent = account.held(memory_kind::kUnsentResponses) > 0;
  const bool has_response =
      is_unsent || account.held(memory_kind::kEndpointResponses) > 0;
  // Input behind a request in progress belongs to the next request.
  const bool is_receiving = is_incoming && !has_response &&
                            account.held(memory_kind::kHeldRequests) == 0;
  const auto idle =
      now - std::max(account.last_progress(),
                     resumed_at_.value_or(account.last_progress()));
  if ((is_receiving || is_unsent) && idle >= kStallTime &&
      account.total() >= kMinStalledBytes) {
    return memory_close_reason::kStalled;
  }
  if (is_receiving) return memory_close_reason::kIncoming;
  if (has_response) return memory_close_reason::kResponse;
  return std::nullopt;
}

void memory_budget::Tick(steady_time now) {
  if (last_tick_ && now - *last_tick_ > kStallTime) resumed_at_ = now;
  last_tick_ = now;
}

std::vector<memory_budget::candidate> memory_budget::FindCandidates(
    steady_time now) const {
  std::vector<candidate> found;
  for (memory_account* account : accounts_) {
    const auto reason = ReasonToClose(*account, now);
    if (reason) found.push_back({account, *reason, account->total()});
  }
  std::sort(found.begin(), found.end(),
            [](const candidate& left, const candidate& right) {
              return std::tie(left.reason, right.total) <
                     std::tie(right.reason, left.total);
            });
  return found;
}

void memory_budget::Relieve(steady_time now) {
  if (!IsExceeded()) return;
  for (const candidate& next : FindCandidates(now)) {
    if (!IsExceeded()) return;
    // Closing one connection can end others or change what they hold.
    if (accounts_.count(next.account) == 0) continue;
    if (ReasonToClose(*next.account, now) != next.reason) continue;
    Report(*next.account, next.reason, now);
    next.account->close_();
  }
}

bool memory_budget::IsExceededFor(std::size_t request_bytes) const {
  if (request_bytes <= kSmallRequestBytes) return IsExceeded();
  return total_ > limit_ - limit_ / kReservedDivisor;
}

void memory_budget::Refuse(const memory_account& account, steady_time now) {
  Report(account, memory_close_reason::kRefused, now);
}

void memory_budget::Report(const memory_account& account,
                           memory_close_reason reason, steady_time now) const {
  if (!on_shortage_) return;
  on_shortage_(
      {reason, account.all(), now - account.last_progress(), total_, limit_});
}

std::chrono::milliseconds memory_budget::RetryAfter() {
  return std::chrono::milliseconds(kMinRetryMs + random_() % kRetrySpreadMs);
}

}  // namespace marjoramsill
