#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cstdint>
#include <map>
#include <queue>
#include <string>
#include <vector>

#include "process/controller/watch_hub.h"
#include "process/directory/endpoint_directory.h"
#include "process/directory/watch_codec.h"

namespace marjoramsill {
namespace {

using std::chrono::milliseconds;

constexpr double kLinkMbps = 3;
/// Documents may take half of the link, see document_relay.
constexpr std::uint64_t kHalfLinkBytes = 187'500;
constexpr std::uint64_t kEpoch = 7;
constexpr milliseconds kRoundTrip{3};
constexpr int kWatchers = 90;
constexpr int kEndpoints = 120;

/// Entry VMs that watch one control process which has just started. Each of
/// them sends its next request a round trip after a response.
class watched_controller {
 public:
  explicit watched_controller(std::uint32_t known_endpoints)
      : known_endpoints_(known_endpoints) {
    for (int i = 0; i < kWatchers; ++i) Schedule(i, 0, now_);
  }

  void Run(milliseconds duration) {
    const steady_time end = now_ + duration;
    for (; now_ < end; now_ += milliseconds(1)) {
      while (!pending_.empty() && pending_.top().at <= now_) {
        const request next = pending_.top();
        pending_.pop();
        Watch(next.watcher);
      }
      if (now_.time_since_epoch() % milliseconds(50) == milliseconds(0)) {
        hub_.Tick(now_);
      }
    }
  }

  void ReceiveHeartbeat(int endpoint) {
    endpoint_record record;
    record.id = endpoint_id("i-00000000" + std::to_string(endpoint));
    record.pool = model_id("abcd12e");
    record.address = "10.1.64." + std::to_string(endpoint) + ":8080";
    record.domain = failure_domain_id("hamilton-a");
    record.incarnation = incarnation_number(1'767'472'095'888);
    if (directory_.ReceiveHeartbeat(record, now_)) hub_.Notify(now_);
  }

  /// Returns the time until all watchers have confirmed the end, or the limit.
  milliseconds EndEndpoint(int endpoint, milliseconds limit) {
    const endpoint_id id("i-00000000" + std::to_string(endpoint));
    directory_.End(id, incarnation_number(1'767'472'099'000), now_);
    hub_.Notify(now_);
    bool is_done = false;
    hub_.AwaitApplied(
        directory_.last_change(), now_ + limit,
        [&is_done](bool /*applied*/) { is_done = true; }, now_);
    milliseconds waited{0};
    for (; !is_done; ++waited) Run(milliseconds(1));
    return waited;
  }

  std::uint64_t MaxBytesInOneSecond() const {
    std::uint64_t most = 0;
    for (auto first = sent_.begin(); first != sent_.end(); ++first) {
      std::uint64_t sum = 0;
      for (auto it = first;
           it != sent_.end() && it->first < first->first + milliseconds(1'000);
           ++it) {
        sum += it->second;
      }
      most = std::max(most, sum);
    }
    return most;
  }

  /// Watchers that have received the records of all endpoints.
  std::ptrdiff_t CountComplete() const {
    return std::count_if(states_.begin(), states_.end(), [](const auto& item) {
      return item.second.records >= std::size_t{kEndpoints};
    });
  }

 private:
  struct watcher_state {
    std::uint64_t epoch = 0;
    std::uint64_t applied_change = 0;
    std::uint64_t applied_ending = 0;
    std::size_t records = 0;
  };
  struct request {
    steady_time at;
    int watcher = 0;
    bool operator<(const request& other) const { return other.at < at; }
  };

  void Schedule(int watcher, std::uint64_t epoch, steady_time at) {
    states_[watcher].epoch = epoch;
    pending_.push({at, watcher});
  }

  void Watch(int watcher) {
    const watcher_state& state = states_[watcher];
    watch_request message;
    message.watcher = vm_id("10.1.0." + std::to_string(watcher));
    message.is_entry = true;
    message.document = document_version(1);
    message.epoch = state.epoch;
    message.applied_change = state.applied_change;
    message.applied_ending = state.applied_ending;
    message.known_endpoints =
        std::max(known_endpoints_, static_cast<std::uint32_t>(state.records));
    hub_.OnWatch(
        message,
        [this, watcher](const std::string& bytes) {
          OnResponse(watcher, bytes);
        },
        now_);
  }

  void OnResponse(int watcher, const std::string& bytes) {
    sent_[now_] += bytes.size();
    const auto response = DecodeWatchResponse(bytes);
    CPPUNIT_ASSERT(response);
    watcher_state& state = states_[watcher];
    state.applied_change = response->last_change;
    state.applied_ending = response->last_ending;
    state.records += response->records.size();
    Schedule(watcher, response->epoch, now_ + kRoundTrip);
  }

  const std::uint32_t known_endpoints_;
  steady_time now_{milliseconds(10'000)};
  endpoint_directory directory_;
  watch_hub hub_{
      {.directory = &directory_,
       .document = [] { return document_version(1); },
       .members = [] { return std::vector<vm_id>(5, vm_id("10.1.0.38:7600")); },
       .link_mbps = kLinkMbps},
      kEpoch};
  std::map<int, watcher_state> states_;
  std::priority_queue<request> pending_;
  std::map<steady_time, std::uint64_t> sent_;
};

/// The endpoints find the control process within one heartbeat interval.
void ReceiveAllHeartbeats(watched_controller& controller) {
  for (int i = 0; i < kEndpoints; ++i) {
    controller.ReceiveHeartbeat(i);
    controller.Run(milliseconds(10));
  }
}

}  // namespace

class watch_load_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(watch_load_test);
  CPPUNIT_TEST(restarted_process_leaves_half_of_its_link_to_the_group);
  CPPUNIT_TEST(ending_is_confirmed_in_time_while_records_are_paced);
  CPPUNIT_TEST(new_watchers_receive_all_endpoints_within_their_share);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a directory that is sent again to every watcher after a
  // restart and delays the messages of the replicated group.
  void restarted_process_leaves_half_of_its_link_to_the_group() {
    watched_controller controller(kEndpoints);
    ReceiveAllHeartbeats(controller);
    controller.Run(milliseconds(4'000));
    CPPUNIT_ASSERT_MESSAGE(std::to_string(controller.MaxBytesInOneSecond()),
                           controller.MaxBytesInOneSecond() <= kHalfLinkBytes);
  }

  // Guards against an announced end that waits behind records.
  void ending_is_confirmed_in_time_while_records_are_paced() {
    watched_controller controller(kEndpoints);
    ReceiveAllHeartbeats(controller);
    for (int i = 0; i < 5; ++i) {
      CPPUNIT_ASSERT(controller.EndEndpoint(i, milliseconds(700)) <=
                     milliseconds(100));
      controller.Run(milliseconds(400));
    }
    CPPUNIT_ASSERT_MESSAGE(std::to_string(controller.MaxBytesInOneSecond()),
                           controller.MaxBytesInOneSecond() <= kHalfLinkBytes);
  }

  // Guards against entry VMs that start together and wait for endpoints. Five
  // control processes serve them, so that each one serves a fifth in time.
  void new_watchers_receive_all_endpoints_within_their_share() {
    watched_controller controller(0);
    ReceiveAllHeartbeats(controller);
    controller.Run(milliseconds(2'000));
    CPPUNIT_ASSERT(controller.CountComplete() >= kWatchers / 5);
    CPPUNIT_ASSERT_MESSAGE(std::to_string(controller.MaxBytesInOneSecond()),
                           controller.MaxBytesInOneSecond() <= kHalfLinkBytes);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(watch_load_test);

}  // namespace marjoramsill
