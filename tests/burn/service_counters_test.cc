#include "process/burn/service_counters.h"

#include <cppunit/extensions/HelperMacros.h>

#include "process/burn/counters_codec.h"

namespace marjoramsill {
namespace {

using std::chrono::minutes;

const counter_key kKey{.rank = rank::kUrgent,
                       .failure_domain = failure_domain_id("perth"),
                       .size = size_class::kSmall};
constexpr steady_time kStart{std::chrono::hours(1000)};

std::uint64_t Good(const counter_snapshot& snapshot, burn_window window) {
  return snapshot.at(kKey).windows.at(static_cast<std::size_t>(window))[0];
}

}  // namespace

class service_counters_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(service_counters_test);
  CPPUNIT_TEST(windows_drop_events_when_they_are_too_old);
  CPPUNIT_TEST(codec_returns_the_same_snapshot);
  CPPUNIT_TEST(codec_every_truncation_is_refused);
  CPPUNIT_TEST(codec_wrong_field_is_named);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against windows that keep old events or lose new ones.
  void windows_drop_events_when_they_are_too_old() {
    service_counters counters;
    counters.Count(kKey, service_event::kGood, kStart);
    struct expected {
      minutes age;
      std::array<std::uint64_t, kBurnWindowCount> counts;
    };
    for (const expected& example :
         {expected{minutes(4), {1, 1, 1, 1, 1}},
          expected{minutes(5), {0, 1, 1, 1, 1}},
          expected{minutes(30), {0, 0, 1, 1, 1}},
          expected{minutes(60), {0, 0, 0, 1, 1}},
          expected{minutes(360), {0, 0, 0, 0, 1}},
          expected{minutes(30 * 24 * 60), {0, 0, 0, 0, 0}}}) {
      const auto snapshot = counters.Snapshot(kStart + example.age);
      for (std::size_t i = 0; i < kBurnWindowCount; ++i) {
        CPPUNIT_ASSERT_EQUAL(example.counts.at(i),
                             Good(snapshot, static_cast<burn_window>(i)));
      }
    }
    counters.Count(kKey, service_event::kFailedTimeout, kStart + minutes(10));
    const auto series = counters.Snapshot(kStart + minutes(10)).at(kKey).series;
    CPPUNIT_ASSERT(series[kSeriesPoints - 1] == (series_point{0, 1}));
    CPPUNIT_ASSERT(series[kSeriesPoints - 3] == (series_point{1, 0}));
  }

  // Guards against counters that are changed by encoding and decoding.
  void codec_returns_the_same_snapshot() {
    const auto snapshot = Example();
    const auto decoded = DecodeCounters(EncodeCounters(snapshot));
    CPPUNIT_ASSERT(decoded.has_value());
    CPPUNIT_ASSERT_EQUAL(snapshot.size(), decoded.value().size());
    for (const auto& [key, values] : snapshot) {
      CPPUNIT_ASSERT(decoded.value().at(key).windows == values.windows);
      CPPUNIT_ASSERT(decoded.value().at(key).series == values.series);
    }
  }

  // Guards against a read past the end of a message.
  void codec_every_truncation_is_refused() {
    const std::string bytes = EncodeCounters(Example());
    for (std::size_t size = 0; size < bytes.size(); ++size) {
      CPPUNIT_ASSERT(DecodeCounters(bytes.substr(0, size)).has_failure());
    }
    const auto large = DecodeCounters(std::string(kMaxCountersBytes + 1, 'x'));
    CPPUNIT_ASSERT(large.error().kind == counters_decode_error_kind::kTooLarge);
  }

  // Guards against using an out-of-range value from a peer as an array index.
  void codec_wrong_field_is_named() {
    std::string bytes = EncodeCounters(Example());
    bytes[2] = 7;  // After the headers of the snapshot and the key: the rank.
    const auto decoded = DecodeCounters(bytes);
    CPPUNIT_ASSERT(decoded.has_failure());
    CPPUNIT_ASSERT_EQUAL(std::string("rank"), decoded.error().field);
    CPPUNIT_ASSERT(decoded.error().kind ==
                   counters_decode_error_kind::kOutOfRange);
  }

 private:
  static counter_snapshot Example() {
    service_counters counters;
    counter_key other = kKey;
    other.size = size_class::kLarge;
    for (int i = 0; i < 300; ++i) {
      counters.Count(i % 3 == 0 ? other : kKey,
                     static_cast<service_event>(i % kServiceEventCount),
                     kStart + minutes(i));
    }
    return counters.Snapshot(kStart + minutes(300));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(service_counters_test);

}  // namespace marjoramsill
