#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <vector>

#include "process/controller/watch_hub.h"
#include "process/directory/endpoint_directory.h"
#include "process/directory/transfer_planner.h"
#include "process/directory/watch_codec.h"

namespace marjoramsill {
namespace {

using std::chrono::milliseconds;

constexpr double kLinkMbps = 3;
/// Bytes in a millisecond.
constexpr double kLinkRate = kLinkMbps * 1e6 / 8 / 1'000;
constexpr milliseconds kOneWay{1};

/// Size and history of a fleet whose entry VMs restart together.
struct restart_case {
  int members = 6;
  int entries = 71;
  int endpoints = 95;
  /// How often all endpoints were replaced before.
  int replaced = 3;
};

/// What the entry VMs and the links of the control members saw.
struct restart_figures {
  /// Until the last entry VM knew an endpoint, and all that are present.
  milliseconds first_known{0};
  milliseconds all_known{0};
  /// Share of the link that the busiest member used in its busiest second.
  double busiest = 0;
};

/// Control members, each with its link, and the entry VMs that watch them all.
/// Messages have their encoded size; responses are not packed.
class restarted_fleet {
 public:
  restarted_fleet(const restart_case& size, bool is_earlier_build)
      : size_(size), is_earlier_build_(is_earlier_build) {
    for (int i = 0; i < size.members; ++i) {
      ids_.emplace_back("10.1.0." + std::to_string(i + 1) + ":7340");
    }
    for (int i = 0; i < size.members; ++i) {
      members_.push_back(std::make_unique<member>(*this, i));
    }
    for (int i = 0; i < size.members; ++i) FillDirectory(*members_[i]);
    for (int i = 0; i < size.entries; ++i) {
      entries_.push_back(std::make_unique<entry>(i, size.members));
    }
  }

  restart_figures Run(milliseconds duration) {
    // The first contact is spread over the start of the processes.
    for (int i = 0; i < size_.entries; ++i) {
      for (int m = 0; m < size_.members; ++m) {
        const milliseconds start(5 * i % 300);
        At(now_ + start, [this, i, m] { SendWatch(i, m); });
      }
    }
    const steady_time start = now_;
    for (const steady_time end = now_ + duration; now_ < end;
         now_ += milliseconds(1)) {
      while (!events_.empty() && events_.top().at <= now_) {
        const auto run = events_.top().run;
        events_.pop();
        run();
      }
      if ((now_ - start) % milliseconds(50) == milliseconds(0)) {
        for (const auto& each : members_) each->hub.Tick(now_);
      }
    }
    return Figures(start);
  }

 private:
  struct event {
    steady_time at;
    std::uint64_t number = 0;
    std::function<void()> run;
    bool operator<(const event& other) const {
      return at != other.at ? other.at < at : other.number < number;
    }
  };
  struct member {
    member(const restarted_fleet& fleet, int index)
        : hub({.directory = &directory,
               .document = [] { return document_version(1); },
               .members = [&fleet] { return fleet.ids_; },
               .link_mbps = kLinkMbps},
              static_cast<std::uint64_t>(index) + 1) {}
    endpoint_directory directory;
    watch_hub hub;
    /// When the link has sent all that it was given.
    steady_time link_free;
    std::map<std::int64_t, double> bytes_by_second;
  };
  struct entry {
    entry(int index, int member_count)
        : id("10.2.0." + std::to_string(index + 1) + ":7340"),
          planner(id),
          applied(static_cast<std::size_t>(member_count)) {}
    vm_id id;
    transfer_planner planner;
    endpoint_directory directory;
    struct position {
      std::uint64_t epoch = 0;
      std::uint64_t change = 0;
      std::uint64_t ending = 0;
    };
    std::vector<position> applied;
    std::vector<vm_id> members;
    std::optional<steady_time> first_known;
    std::optional<steady_time> all_known;
  };

  void At(steady_time at, std::function<void()> run) {
    events_.push({at, next_event_++, std::move(run)});
  }

  void FillDirectory(member& each) const {
    for (int round = 0; round <= size_.replaced; ++round) {
      for (int i = 0; i < size_.endpoints; ++i) {
        const int number = round * 10'000 + i;
        endpoint_record record;
        record.id = endpoint_id("i-" + std::to_string(100'000'000'0 + number));
        record.pool = model_id("huvo11a");
        record.address = "10." + std::to_string(round + 1) + "." +
                         std::to_string(i / 200) + "." +
                         std::to_string(i % 200 + 1) + ":8080";
        record.domain = failure_domain_id("hamilton-a");
        record.software = "v1." + std::to_string(round);
        record.slots = 16;
        record.incarnation = incarnation_number(1'767'472'095'888 + number);
        record.sequence = 1;
        each.directory.ReceiveHeartbeat(record, now_);
        if (round == size_.replaced) continue;
        each.directory.End(record.id, record.incarnation, now_);
      }
    }
  }

  void SendWatch(int index, int to) {
    entry& vm = *entries_[static_cast<std::size_t>(index)];
    const entry::position& position = vm.applied[static_cast<std::size_t>(to)];
    watch_request request;
    request.watcher = vm.id;
    request.is_entry = true;
    request.epoch = position.epoch;
    request.applied_change = position.change;
    request.applied_ending = position.ending;
    request.document = document_version(1);
    request.known_endpoints =
        static_cast<std::uint32_t>(vm.directory.CountPresent());
    if (!is_earlier_build_) {
      request.transfer = vm.planner.Next(
          ids_[static_cast<std::size_t>(to)], position.change > 0,
          request.known_endpoints, vm.members, now_);
      if (request.transfer == record_transfer::kDifferences) {
        request.known_digests = vm.directory.digest().parts();
      }
    }
    At(now_ + kOneWay, [this, index, to, request] {
      members_[static_cast<std::size_t>(to)]->hub.OnWatch(
          request,
          [this, index, to](const std::string& bytes) {
            SendResponse(index, to, bytes);
          },
          now_);
    });
  }

  void SendResponse(int index, int from, const std::string& bytes) {
    // A response to a request that was replaced.
    if (bytes.empty()) return;
    member& sender = *members_[static_cast<std::size_t>(from)];
    const auto size = static_cast<double>(bytes.size());
    const milliseconds sending(static_cast<std::int64_t>(size / kLinkRate));
    sender.link_free = std::max(sender.link_free, now_) + sending;
    sender.bytes_by_second[now_.time_since_epoch() / milliseconds(1'000)] +=
        size;
    At(sender.link_free + kOneWay,
       [this, index, from, bytes] { OnResponse(index, from, bytes); });
  }

  void OnResponse(int index, int from, const std::string& bytes) {
    const auto response = DecodeWatchResponse(bytes);
    CPPUNIT_ASSERT(response);
    entry& vm = *entries_[static_cast<std::size_t>(index)];
    vm.applied[static_cast<std::size_t>(from)] = {
        response->epoch, response->last_change,
        std::max(response->last_change, response->last_ending)};
    vm.members = response->members;
    for (const endpoint_record& record : response->records) {
      vm.directory.Merge(record, now_);
    }
    const std::size_t known = vm.directory.CountPresent();
    if (known > 0 && !vm.first_known) vm.first_known = now_;
    if (known == static_cast<std::size_t>(size_.endpoints) && !vm.all_known) {
      vm.all_known = now_;
    }
    SendWatch(index, from);
  }

  restart_figures Figures(steady_time start) const {
    restart_figures figures;
    const auto since = [this, start](const std::optional<steady_time>& at) {
      return std::chrono::duration_cast<milliseconds>(at.value_or(now_) -
                                                      start);
    };
    for (const auto& vm : entries_) {
      figures.first_known =
          std::max(figures.first_known, since(vm->first_known));
      figures.all_known = std::max(figures.all_known, since(vm->all_known));
    }
    for (const auto& each : members_) {
      for (const auto& [second, bytes] : each->bytes_by_second) {
        figures.busiest =
            std::max(figures.busiest, bytes / (kLinkRate * 1'000));
      }
    }
    return figures;
  }

  const restart_case size_;
  const bool is_earlier_build_;
  steady_time now_{milliseconds(10'000)};
  std::vector<vm_id> ids_;
  std::vector<std::unique_ptr<member>> members_;
  std::vector<std::unique_ptr<entry>> entries_;
  std::priority_queue<event> events_;
  std::uint64_t next_event_ = 0;
};

}  // namespace

class fleet_restart_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(fleet_restart_test);
  CPPUNIT_TEST(restarted_entry_vms_know_all_endpoints_in_time);
  CPPUNIT_TEST(records_of_ended_endpoints_do_not_delay_a_restart);
  CPPUNIT_TEST(watchers_of_earlier_builds_still_get_all_endpoints);
  CPPUNIT_TEST_SUITE_END();

  static constexpr milliseconds kMaxKnown{1'500};
  static constexpr double kMaxLinkShare = 0.5;

  static restart_figures Play(const restart_case& size,
                              bool is_earlier_build = false) {
    restarted_fleet fleet(size, is_earlier_build);
    const restart_figures figures = fleet.Run(milliseconds(20'000));
    std::cout << "\n  " << size.members << " members, " << size.entries
              << " entry VMs, " << size.endpoints << " endpoints replaced "
              << size.replaced << " times: first known "
              << figures.first_known.count() << " ms, all "
              << figures.all_known.count() << " ms, busiest link "
              << figures.busiest << std::flush;
    return figures;
  }

 public:
  // Guards against links of control processes that carry a copy of all records
  // from each member to each entry VM.
  void restarted_entry_vms_know_all_endpoints_in_time() {
    for (const restart_case& size :
         {restart_case{3, 6, 12, 1}, restart_case{3, 10, 30, 3},
          restart_case{6, 71, 95, 1}, restart_case{5, 90, 117, 3}}) {
      const restart_figures figures = Play(size);
      CPPUNIT_ASSERT(figures.all_known <= kMaxKnown);
      CPPUNIT_ASSERT(figures.busiest <= kMaxLinkShare);
    }
  }

  void records_of_ended_endpoints_do_not_delay_a_restart() {
    const restart_figures never = Play({6, 71, 95, 0});
    const restart_figures often = Play({6, 71, 95, 5});
    CPPUNIT_ASSERT(often.all_known <= never.all_known + milliseconds(100));
  }

  void watchers_of_earlier_builds_still_get_all_endpoints() {
    const restart_figures figures = Play({3, 10, 30, 1}, true);
    CPPUNIT_ASSERT(figures.all_known < milliseconds(20'000));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(fleet_restart_test);

}  // namespace marjoramsill
