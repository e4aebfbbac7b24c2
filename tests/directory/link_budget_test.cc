#include "process/controller/link_budget.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <chrono>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "process/controller/watch_hub.h"
#include "process/directory/endpoint_directory.h"
#include "process/directory/watch_codec.h"

namespace marjoramsill {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A control process in virtual time, whose watchers ask for everything.
class link_budget_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(link_budget_test);
  CPPUNIT_TEST(unknown_link_allows_everything);
  CPPUNIT_TEST(less_needed_uses_are_held_back_first);
  CPPUNIT_TEST(series_of_urgent_responses_leaves_a_part_to_records);
  CPPUNIT_TEST(any_watch_traffic_leaves_the_reserve);
  CPPUNIT_TEST(document_and_ends_reach_watchers_beside_content_records);
  CPPUNIT_TEST(content_record_is_not_sent_to_a_watcher_that_has_it);
  CPPUNIT_TEST(new_watcher_gets_all_records_during_a_series_of_ends);
  CPPUNIT_TEST(urgent_record_behind_known_ones_arrives_at_once);
  CPPUNIT_TEST_SUITE_END();

  static constexpr std::uint64_t kEpoch = 7;
  static constexpr double kLinkMbps = 3;
  static constexpr int kWatchers = 71;
  static constexpr int kEndpoints = 140;
  static constexpr milliseconds kRoundTrip{3};
  /// Two responses that were begun within the budget.
  static constexpr std::int64_t kTolerance = 30'000;

  struct watcher_state {
    watch_request request;
    steady_time next;
    bool is_waiting = false;
  };

  steady_time now_{seconds(1'000)};
  std::mt19937_64 random_{20261207};
  std::uint64_t document_ = 1;
  endpoint_directory directory_;
  watch_hub hub_{
      {.directory = &directory_,
       .document = [this] { return document_version(document_); },
       .members = [] { return std::vector<vm_id>(6, vm_id("10.1.0.38:7600")); },
       .link_mbps = kLinkMbps},
      kEpoch};
  std::map<int, watcher_state> watchers_;
  std::map<steady_time, std::int64_t> sent_;
  std::uint64_t contents_sent_ = 0;
  std::uint64_t last_run_ = 0;
  int ends_ = 0;

  void Heartbeat(int endpoint, std::uint64_t incarnation) {
    endpoint_record record;
    record.id = endpoint_id("i-00000000" + std::to_string(endpoint));
    record.pool = model_id("abcd12e");
    record.address = "10.1.64." + std::to_string(endpoint) + ":8080";
    record.domain = failure_domain_id("hamilton-a");
    record.incarnation = incarnation_number(incarnation);
    if (directory_.ReceiveHeartbeat(record, now_)) hub_.Notify(now_);
  }

  void RecordFaults(std::size_t count) {
    std::vector<content_fault> faults;
    for (std::size_t i = 0; i < count; ++i) {
      const auto run = static_cast<std::uint32_t>(3 * ++last_run_);
      faults.push_back({content_digest(random_() % 3'000),
                        0,
                        {endpoint_run_digest(run), endpoint_run_digest(run + 1),
                         endpoint_run_digest(run + 2)}});
    }
    hub_.RecordFaults(faults, now_);
  }

  static content_fault UrgentFault(std::uint64_t content) {
    return {content_digest(content),
            0,
            {endpoint_run_digest(1), endpoint_run_digest(2),
             endpoint_run_digest(3)}};
  }

  std::vector<shared_load> Loads() {
    std::vector<shared_load> loads;
    for (int i = 0; i < kEndpoints; ++i) {
      const endpoint_id id("i-00000000" + std::to_string(i));
      loads.push_back({DigestOf(id), {9, 2, 16}, milliseconds(5)});
    }
    return loads;
  }

  void Watch(int index) {
    watcher_state& state = watchers_[index];
    state.is_waiting = true;
    state.request.watcher = vm_id("10.1.0." + std::to_string(index));
    state.request.is_entry = true;
    state.request.requests_loads = true;
    state.request.transfer = record_transfer::kChanges;
    state.request.known_endpoints = kEndpoints;
    hub_.OnWatch(
        state.request,
        [this, index](const std::string& bytes) { OnResponse(index, bytes); },
        now_);
  }

  void OnResponse(int index, const std::string& bytes) {
    sent_[now_] += static_cast<std::int64_t>(bytes.size());
    const auto response = DecodeWatchResponse(bytes);
    CPPUNIT_ASSERT(response);
    watcher_state& state = watchers_[index];
    state.request.epoch = response->epoch;
    state.request.applied_change = response->last_change;
    state.request.applied_ending = response->last_ending;
    state.request.applied_fault = response->last_fault;
    state.request.document = response->document;
    contents_sent_ += response->faults.size();
    state.is_waiting = false;
    state.next = now_ + kRoundTrip;
  }

  void Run(milliseconds duration) {
    const steady_time end = now_ + duration;
    for (; now_ < end; now_ += milliseconds(1)) {
      for (int i = 0; i < kWatchers; ++i) {
        watcher_state& state = watchers_[i];
        if (!state.is_waiting && state.next <= now_) Watch(i);
      }
      if (now_.time_since_epoch() % milliseconds(50) == milliseconds(0)) {
        hub_.Tick(now_);
      }
    }
  }

  /// Time until a new watcher has all endpoints during a series of ends.
  milliseconds TimeToAllRecords(int index) {
    watch_request request;
    request.watcher = vm_id("10.1.1." + std::to_string(index));
    request.is_entry = true;
    request.transfer = record_transfer::kPresent;
    bool has_records = false;
    bool is_waiting = false;
    const steady_time begin = now_;
    while (!has_records && now_ < begin + seconds(2)) {
      if (!std::exchange(is_waiting, true)) {
        hub_.OnWatch(
            request,
            [&](const std::string& bytes) {
              sent_[now_] += static_cast<std::int64_t>(bytes.size());
              const auto response = DecodeWatchResponse(bytes);
              if (!response) return;
              request.epoch = response->epoch;
              request.document = response->document;
              request.applied_ending = response->last_ending;
              has_records = has_records || response->last_change > 0;
              is_waiting = false;
            },
            now_);
      }
      EndEvery50Ms(1);
    }
    if (is_waiting)
      hub_.OnWatch(
          request, [](const std::string&) {}, now_);
    return std::chrono::duration_cast<milliseconds>(now_ - begin);
  }

  /// An end of an endpoint in each round, every 50 ms.
  void EndEvery50Ms(int rounds) {
    for (int i = 0; i < rounds; ++i, ++ends_) {
      const int endpoint = ends_ % kEndpoints;
      directory_.End(endpoint_id("i-00000000" + std::to_string(endpoint)),
                     incarnation_number(2 + ends_), now_);
      hub_.Notify(now_);
      Run(milliseconds(50));
    }
  }

  std::int64_t MaxBytesInOneSecond() const {
    std::int64_t most = 0;
    for (auto first = sent_.begin(); first != sent_.end(); ++first) {
      std::int64_t sum = 0;
      for (auto it = first;
           it != sent_.end() && it->first < first->first + seconds(1); ++it) {
        sum += it->second;
      }
      most = std::max(most, sum);
    }
    return most;
  }

  void CheckReserve() const {
    const link_budget budget(kLinkMbps);
    const auto link = static_cast<std::int64_t>(kLinkMbps * 1e6 / 8);
    const std::int64_t bound = budget.MaxBytesPerSecond() + kTolerance;
    const std::int64_t most = MaxBytesInOneSecond();
    CPPUNIT_ASSERT_MESSAGE(std::to_string(most), most <= bound);
    // Documents may take half of the link beside it.
    CPPUNIT_ASSERT(most + link / 2 <= link);
  }

  bool HaveAll(const std::function<bool(const watch_request&)>& test) const {
    return std::all_of(
        watchers_.begin(), watchers_.end(),
        [&test](const auto& item) { return test(item.second.request); });
  }

 public:
  void unknown_link_allows_everything() {
    link_budget budget(0);
    budget.Charge(1'000'000, 1'000'000, false, now_);
    CPPUNIT_ASSERT(budget.Allows(link_use::kContents, now_));
  }

  void less_needed_uses_are_held_back_first() {
    link_budget budget(kLinkMbps);
    const std::vector<link_use> uses{link_use::kContents, link_use::kLoads,
                                     link_use::kUrgentContents,
                                     link_use::kUrgent};
    for (const link_use use : uses) {
      CPPUNIT_ASSERT(budget.Allows(use, now_));
      for (int i = 0; budget.Allows(use, now_); ++i) {
        CPPUNIT_ASSERT(i < 1'000);
        budget.Charge(500, 0, false, now_);
      }
    }
  }

  // Guards against entry VMs that never get records during a series of ends.
  void series_of_urgent_responses_leaves_a_part_to_records() {
    link_budget budget(kLinkMbps);
    int records = 0;
    for (int i = 0; i < 1'000; ++i) {
      now_ += milliseconds(1);
      while (budget.Allows(link_use::kUrgent, now_)) {
        if (budget.Allows(link_use::kRecords, now_)) ++records;
        budget.Charge(500, 0, false, now_);
      }
    }
    CPPUNIT_ASSERT(records > 30);
  }

  // Guards against watch responses that fill the link, so that the leader of
  // the group loses its lease.
  void any_watch_traffic_leaves_the_reserve() {
    for (int i = 0; i < kEndpoints; ++i) Heartbeat(i, 1);
    Run(seconds(2));
    sent_.clear();
    for (int round = 0; round < 200; ++round) {
      RecordFaults(50);
      hub_.MergeLoads(Loads(), now_);
      ++document_;
      const int endpoint = round % kEndpoints;
      directory_.End(endpoint_id("i-00000000" + std::to_string(endpoint)),
                     incarnation_number(2 + round), now_);
      hub_.Notify(now_);
      Heartbeat(endpoint, 1'000 + round);
      Run(milliseconds(50));
    }
    CheckReserve();
  }

  // Guards against needed updates that wait behind content records.
  void document_and_ends_reach_watchers_beside_content_records() {
    for (int i = 0; i < kEndpoints; ++i) Heartbeat(i, 1);
    Run(seconds(2));
    for (int round = 0; round < 40; ++round) {
      RecordFaults(50);
      Run(milliseconds(50));
    }
    document_ = 9;
    directory_.End(endpoint_id("i-000000005"), incarnation_number(2), now_);
    const std::uint64_t ending = directory_.last_ending();
    hub_.Notify(now_);
    for (int round = 0; round < 6; ++round) {
      RecordFaults(50);
      Run(milliseconds(50));
    }
    CPPUNIT_ASSERT(HaveAll([ending](const watch_request& request) {
      return request.document == document_version(9) &&
             request.applied_ending >= ending;
    }));
    CheckReserve();
  }

  // Guards against each control process sending each record to each watcher.
  void content_record_is_not_sent_to_a_watcher_that_has_it() {
    Run(seconds(1));
    const content_fault fault{content_digest(5),
                              0,
                              {endpoint_run_digest(1), endpoint_run_digest(2),
                               endpoint_run_digest(3)}};
    // The watchers got it from another control process.
    for (auto& [index, state] : watchers_) state.request.faults = {fault};
    Run(seconds(1));
    hub_.RecordFaults({fault}, now_);
    // An outdated record makes the process number its own again.
    hub_.RecordFaults({{content_digest(5), 0, {endpoint_run_digest(1)}}}, now_);
    const std::uint64_t before = contents_sent_;
    Run(seconds(2));
    CPPUNIT_ASSERT_EQUAL(before, contents_sent_);
    CPPUNIT_ASSERT(contents_sent_ < 71);
    hub_.RecordFaults({{content_digest(6), 0, fault.ends}}, now_);
    Run(seconds(2));
    CPPUNIT_ASSERT_EQUAL(before + kWatchers, contents_sent_);
  }

  // Guards against urgent responses that use up the part of the budget that is
  // meant for records, so that a new watcher gets none.
  void new_watcher_gets_all_records_during_a_series_of_ends() {
    for (int i = 0; i < kEndpoints; ++i) Heartbeat(i, 1);
    // The other watchers have all records after this time.
    Run(seconds(10));
    EndEvery50Ms(20);
    for (int i = 0; i < 20; ++i) {
      const milliseconds time = TimeToAllRecords(i);
      CPPUNIT_ASSERT_MESSAGE(std::to_string(time.count()),
                             time <= milliseconds(300));
    }
    CheckReserve();
  }

  // Guards against an urgent record that waits for regular responses, because
  // the watcher has all records of the block before it.
  void urgent_record_behind_known_ones_arrives_at_once() {
    std::vector<content_fault> received;
    const auto watch = [this, &received](const watch_request& request) {
      hub_.OnWatch(
          request,
          [&received](const std::string& bytes) {
            const auto response = DecodeWatchResponse(bytes);
            CPPUNIT_ASSERT(response);
            received.insert(received.end(), response->faults.begin(),
                            response->faults.end());
          },
          now_);
    };
    watch_request request;
    request.watcher = vm_id("10.1.0.1");
    request.is_entry = true;
    request.transfer = record_transfer::kChanges;
    watch(request);
    request.epoch = kEpoch;
    request.document = document_version(document_);
    for (std::uint64_t i = 1; i <= 200; ++i) {
      request.faults.push_back(UrgentFault(i));
    }
    watch(request);
    CPPUNIT_ASSERT(received.empty());
    hub_.RecordFaults({UrgentFault(201)}, now_);
    // The interval of early responses with content records and one tick.
    const steady_time end = now_ + milliseconds(100) + milliseconds(50);
    for (; now_ <= end; now_ += milliseconds(50)) hub_.Tick(now_);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, received.size());
    CPPUNIT_ASSERT(received.front() == UrgentFault(201));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(link_budget_test);

}  // namespace marjoramsill
