#include "process/entry/call_set.h"

#include <algorithm>
#include <cstddef>
#include <iterator>
#include <utility>

#include "connection/caller_connection.h"
#include "process/entry/call_environment.h"
#include "process/entry/entry_metrics.h"
#include "request/http_status.h"
#include "request/proxied_call.h"
#include "request/relay_terms.h"

namespace marjoramsill {
namespace {

/// Requests of other entry VMs that are in progress at the same time.
constexpr std::ptrdiff_t kMaxRelayedCalls = 400;

}  // namespace

call_set::call_set(const call_environment& environment)
    : environment_(environment) {}

call_set::~call_set() = default;

void call_set::Start(const std::shared_ptr<caller_connection>& caller,
                     caller_message message) {
  Run(std::make_shared<proxied_call>(environment_, caller, std::move(message)));
}

void call_set::StartRelayed(const std::shared_ptr<caller_connection>& caller,
                            caller_message message, bool is_behind) {
  const auto terms = TakeRelayTerms(message.fields);
  const bool has_room = !is_behind && HasRelayRoom();
  if (terms) environment_.metrics->CountRelayed(has_room);
  if (!terms || !has_room) {
    caller->Respond(kStatusUnavailable, {{kRelayField, kRelayUnavailable}}, "");
    return;
  }
  Run(std::make_shared<proxied_call>(environment_, caller, std::move(message),
                                     terms));
}

void call_set::Run(std::shared_ptr<proxied_call> call) {
  call->Start();
  if (!call->is_done()) calls_.push_back(std::move(call));
}

bool call_set::HasRelayRoom() const {
  const auto relayed =
      std::count_if(calls_.begin(), calls_.end(),
                    [](const auto& call) { return call->is_relayed(); });
  return relayed < kMaxRelayedCalls;
}

void call_set::Tick(steady_time now) {
  for (const auto& call : calls_) call->Tick(now);
  RetryPlaces(now);
  std::erase_if(calls_, [](const auto& call) { return call->is_done(); });
}

/// Requests that wait for a place go on in the order of their ranks.
void call_set::RetryPlaces(steady_time now) {
  std::vector<std::shared_ptr<proxied_call>> waiting;
  std::copy_if(calls_.begin(), calls_.end(), std::back_inserter(waiting),
               [](const auto& call) { return call->is_awaiting_place(); });
  std::stable_sort(
      waiting.begin(), waiting.end(),
      [](const auto& a, const auto& b) { return a->Rank() < b->Rank(); });
  for (const auto& call : waiting) call->RetryPlace(now);
}

std::size_t call_set::EndAll() {
  const auto ended = std::exchange(calls_, {});
  for (const auto& call : ended) call->Stop();
  return ended.size();
}

}  // namespace marjoramsill
