#include "process/directory/stream_origin_store.h"

#include <cppunit/extensions/HelperMacros.h>

#include "process/directory/endpoint_record.h"

namespace marjoramsill {

using std::chrono::seconds;

class stream_origin_store_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(stream_origin_store_test);
  CPPUNIT_TEST(first_origin_of_a_stream_stays);
  CPPUNIT_TEST(receiver_gets_each_origin_once);
  CPPUNIT_TEST(origins_expire_after_their_lifetime);
  CPPUNIT_TEST(report_with_damaged_lines_keeps_the_others);
  CPPUNIT_TEST(software_differs_by_version_and_by_pool);
  CPPUNIT_TEST_SUITE_END();

  static stream_origin Origin(int stream, int software) {
    return {stream_digest(static_cast<std::uint64_t>(stream)),
            software_digest(static_cast<std::uint64_t>(software))};
  }

  stream_origin_store store_;
  steady_time now_{seconds(100)};

 public:
  // Guards against a stream that changes its version with each resumption.
  void first_origin_of_a_stream_stays() {
    store_.Record(Origin(1, 7), now_);
    store_.Record(Origin(1, 8), now_);
    CPPUNIT_ASSERT(store_.Find(stream_digest(1)) == software_digest(7));
    CPPUNIT_ASSERT(!store_.Find(stream_digest(2)));
  }

  // Guards against origins that are lost between two messages.
  void receiver_gets_each_origin_once() {
    for (int i = 0; i < 700; ++i) store_.Record(Origin(i, 7), now_);
    std::uint64_t number = 0;
    const auto first = store_.TakeAfter(number);
    const auto second = store_.TakeAfter(number);
    CPPUNIT_ASSERT_EQUAL(std::size_t{700}, first.size() + second.size());
    CPPUNIT_ASSERT(first.front() == Origin(0, 7));
    CPPUNIT_ASSERT(second.back() == Origin(699, 7));
    CPPUNIT_ASSERT(store_.TakeAfter(number).empty());
  }

  void origins_expire_after_their_lifetime() {
    store_.Record(Origin(1, 7), now_);
    store_.Record(Origin(2, 7), now_ + seconds(1));
    store_.Expire(now_ + kStreamOriginLifetime + seconds(1));
    CPPUNIT_ASSERT(!store_.Find(stream_digest(1)));
    CPPUNIT_ASSERT(store_.Find(stream_digest(2)));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, store_.size());
  }

  void report_with_damaged_lines_keeps_the_others() {
    const std::vector<stream_origin> origins = {Origin(1, 7), Origin(2, 8)};
    CPPUNIT_ASSERT(DecodeStreamOrigins(EncodeStreamOrigins(origins)) ==
                   origins);
    CPPUNIT_ASSERT(DecodeStreamOrigins("1 7\nx 8\n3\n\n 9\n2 8\n4 ") ==
                   origins);
  }

  void software_differs_by_version_and_by_pool() {
    endpoint_record a;
    a.pool = model_id("chat");
    a.software = "v1";
    endpoint_record b = a;
    CPPUNIT_ASSERT(DigestOfSoftware(a) == DigestOfSoftware(b));
    b.software = "v1.1";
    CPPUNIT_ASSERT(DigestOfSoftware(a) != DigestOfSoftware(b));
    b = a;
    b.pool = model_id("draft");
    CPPUNIT_ASSERT(DigestOfSoftware(a) != DigestOfSoftware(b));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(stream_origin_store_test);

}  // namespace marjoramsill
