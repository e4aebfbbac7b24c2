#include <cppunit/extensions/HelperMacros.h>

#include <optional>
#include <string>
#include <vector>

#include "process/controller/watch_hub.h"
#include "process/directory/endpoint_directory.h"
#include "process/directory/watch_codec.h"
#include "process/directory/watch_response.h"
#include "process/entry/evacuations_in_force.h"

namespace marjoramsill {

using std::chrono::milliseconds;

/// The way of an evacuation set from a control process to an entry process.
class evacuation_watch_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(evacuation_watch_test);
  CPPUNIT_TEST(newer_set_is_sent_at_once);
  CPPUNIT_TEST(watcher_with_the_newest_set_waits);
  CPPUNIT_TEST(watcher_of_an_earlier_build_waits);
  CPPUNIT_TEST(member_behind_its_watcher_sends_nothing_early);
  CPPUNIT_TEST(messages_are_decoded_as_encoded);
  CPPUNIT_TEST(set_outside_its_bounds_is_not_taken);
  CPPUNIT_TEST(older_set_is_not_applied);
  CPPUNIT_TEST(set_is_current_after_confirmation_by_the_leader_only);
  CPPUNIT_TEST(former_leader_with_an_older_set_confirms_nothing);
  CPPUNIT_TEST(resumed_process_waits_for_a_confirmation);
  CPPUNIT_TEST_SUITE_END();

  static constexpr std::uint64_t kEpoch = 77;
  static constexpr milliseconds kMaxAge{2'500};

  static evacuation_set Set(std::uint64_t change,
                            const std::vector<std::string>& names) {
    evacuation_set set;
    set.change = change;
    for (const std::string& name : names) set.domains.emplace_back(name);
    return set;
  }

  void Watch(std::optional<std::uint64_t> applied) {
    watch_request request;
    request.watcher = vm_id("a");
    request.is_entry = true;
    request.epoch = kEpoch;
    request.applied_evacuations = applied;
    hub_.OnWatch(
        request,
        [this](const std::string& bytes) {
          responses_.push_back(DecodeWatchResponse(bytes));
        },
        now_);
  }

  endpoint_directory directory_{directory_settings()};
  evacuation_set set_;
  steady_time now_{milliseconds(100'000)};
  watch_hub hub_{{.directory = &directory_,
                  .document = [] { return document_version(); },
                  .members = [] { return std::vector<vm_id>(); },
                  .evacuations = [this] { return set_; }},
                 kEpoch};
  std::vector<std::optional<watch_response>> responses_;

 public:
  // Guards against an order that waits for the end of the hold time.
  void newer_set_is_sent_at_once() {
    Watch(0);
    CPPUNIT_ASSERT(responses_.empty());
    set_ = Set(1, {"d1"});
    hub_.Notify(now_);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, responses_.size());
    CPPUNIT_ASSERT(responses_[0]->evacuations == set_);
    Watch(0);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, responses_.size());
  }

  void watcher_with_the_newest_set_waits() {
    set_ = Set(1, {"d1"});
    Watch(1);
    hub_.Notify(now_);
    CPPUNIT_ASSERT(responses_.empty());
    now_ += milliseconds(900);
    hub_.Tick(now_);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, responses_.size());
    CPPUNIT_ASSERT(responses_[0]->evacuations == set_);
  }

  // Guards against endless responses to a watcher that never applies the set.
  void watcher_of_an_earlier_build_waits() {
    set_ = Set(1, {"d1"});
    Watch(std::nullopt);
    hub_.Notify(now_);
    CPPUNIT_ASSERT(responses_.empty());
  }

  void member_behind_its_watcher_sends_nothing_early() {
    set_ = Set(1, {"d1"});
    Watch(2);
    hub_.Notify(now_);
    CPPUNIT_ASSERT(responses_.empty());
  }

  void messages_are_decoded_as_encoded() {
    for (const auto& applied :
         {std::optional<std::uint64_t>(), std::optional<std::uint64_t>(0),
          std::optional<std::uint64_t>(300)}) {
      watch_request request;
      request.applied_evacuations = applied;
      const auto decoded = DecodeWatchRequest(EncodeWatchRequest(request));
      CPPUNIT_ASSERT(decoded.has_value());
      CPPUNIT_ASSERT(decoded->applied_evacuations == applied);
    }
    for (const auto& set :
         {std::optional<evacuation_set>(),
          std::optional<evacuation_set>(Set(0, {})),
          std::optional<evacuation_set>(Set(9, {"a", "b"}))}) {
      watch_response response;
      response.evacuations = set;
      const auto decoded = DecodeWatchResponse(EncodeWatchResponse(response));
      CPPUNIT_ASSERT(decoded.has_value());
      CPPUNIT_ASSERT(decoded->evacuations == set);
    }
  }

  void set_outside_its_bounds_is_not_taken() {
    std::vector<std::string> many;
    for (int i = 10; i < 40; ++i) many.push_back(std::to_string(i));
    for (const evacuation_set& set :
         {Set(3, {"b", "a"}), Set(3, {"a", "a"}), Set(3, {""}), Set(3, many),
          Set(0, {"a"}), Set(3, {std::string(99, 'x')})}) {
      watch_response response;
      response.epoch = kEpoch;
      response.evacuations = set;
      const auto decoded = DecodeWatchResponse(EncodeWatchResponse(response));
      CPPUNIT_ASSERT(decoded.has_value());
      CPPUNIT_ASSERT(!decoded->evacuations);
      CPPUNIT_ASSERT_EQUAL(kEpoch, decoded->epoch);
    }
  }

  // Guards against a lagging member that ends an evacuation.
  void older_set_is_not_applied() {
    evacuations_in_force in_force(kMaxAge);
    CPPUNIT_ASSERT(in_force.Update(Set(3, {"d1"}), std::nullopt));
    CPPUNIT_ASSERT(!in_force.Update(Set(2, {}), std::nullopt));
    CPPUNIT_ASSERT(!in_force.Update(Set(3, {"d1"}), std::nullopt));
    CPPUNIT_ASSERT(in_force.set() == Set(3, {"d1"}));
  }

  void set_is_current_after_confirmation_by_the_leader_only() {
    evacuations_in_force in_force(kMaxAge);
    in_force.Update(Set(0, {}), std::nullopt);
    CPPUNIT_ASSERT(!in_force.IsCurrent(now_));
    in_force.Update(Set(0, {}), now_);
    CPPUNIT_ASSERT(in_force.IsCurrent(now_ + kMaxAge));
    CPPUNIT_ASSERT(!in_force.IsCurrent(now_ + kMaxAge + milliseconds(1)));
  }

  void former_leader_with_an_older_set_confirms_nothing() {
    evacuations_in_force in_force(kMaxAge);
    in_force.Update(Set(3, {"d1"}), std::nullopt);
    in_force.Update(Set(2, {}), now_);
    CPPUNIT_ASSERT(!in_force.IsCurrent(now_));
  }

  // Guards against a process that was suspended, and after it sends to a domain
  // that was evacuated meanwhile.
  void resumed_process_waits_for_a_confirmation() {
    evacuations_in_force in_force(kMaxAge);
    in_force.Update(Set(0, {}), now_);
    CPPUNIT_ASSERT(in_force.MayServe(now_));
    now_ += milliseconds(2'000);
    CPPUNIT_ASSERT(in_force.MayServe(now_));
    now_ += milliseconds(8'000);
    CPPUNIT_ASSERT(!in_force.MayServe(now_));
    in_force.Update(Set(0, {}), now_ - milliseconds(7'000));
    CPPUNIT_ASSERT(!in_force.MayServe(now_));
    in_force.Update(Set(1, {"d1"}), now_ + milliseconds(1));
    CPPUNIT_ASSERT(in_force.MayServe(now_ + milliseconds(2)));
    // A failure domain that is cut off goes on after 2 s.
    now_ += milliseconds(8'000);
    CPPUNIT_ASSERT(!in_force.MayServe(now_));
    CPPUNIT_ASSERT(!in_force.MayServe(now_ + milliseconds(1'900)));
    CPPUNIT_ASSERT(in_force.MayServe(now_ + milliseconds(2'000)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(evacuation_watch_test);

}  // namespace marjoramsill
