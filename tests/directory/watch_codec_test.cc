#include "process/directory/watch_codec.h"

#include <cppunit/extensions/HelperMacros.h>

#include <random>
#include <string>

namespace marjoramsill {

using std::chrono::milliseconds;

class watch_codec_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(watch_codec_test);
  CPPUNIT_TEST(request_survives_the_codec);
  CPPUNIT_TEST(reply_survives_the_codec);
  CPPUNIT_TEST(bytes_damaged_are_refused_without_a_crash);
  CPPUNIT_TEST_SUITE_END();

  static watch_reply Reply() {
    watch_reply reply;
    reply.epoch = 7;
    reply.last_change = 12;
    reply.document = document_version(40);
    reply.members = {vm_id("10.0.0.1:7340"), vm_id("10.0.0.2:7340")};
    reply.entry_count = 6;
    reply.loads = {{endpoint_digest(77), {3, 1, 16}, milliseconds(120)}};
    endpoint_record record;
    record.id = endpoint_id("e");
    record.pool = model_id("chat");
    record.address = "10.0.0.9:8080";
    record.domain = failure_domain_id("perth");
    record.slots = 128;
    record.phase = endpoint_phase::kLeaving;
    record.born = incarnation(1'700'000'000'000);
    record.sequence = 99;
    record.cold_ms = 250;
    reply.records = {record};
    return reply;
  }

 public:
  void request_survives_the_codec() {
    watch_request request;
    request.watcher = vm_id("10.0.0.3:7340");
    request.is_entry = true;
    request.epoch = 5;
    request.seen_change = 6;
    request.document = document_version(8);
    request.wants_loads = true;
    request.loads = {{endpoint_digest(9), {2, 0, 16}, milliseconds(40)}};
    const auto decoded = DecodeWatchRequest(EncodeWatchRequest(request));
    CPPUNIT_ASSERT(decoded.has_value());
    CPPUNIT_ASSERT(decoded->watcher == request.watcher);
    CPPUNIT_ASSERT(decoded->is_entry);
    CPPUNIT_ASSERT_EQUAL(request.epoch, decoded->epoch);
    CPPUNIT_ASSERT_EQUAL(request.seen_change, decoded->seen_change);
    CPPUNIT_ASSERT(decoded->document == request.document);
    CPPUNIT_ASSERT(decoded->wants_loads);
    CPPUNIT_ASSERT(decoded->loads == request.loads);
  }

  void reply_survives_the_codec() {
    const watch_reply reply = Reply();
    const auto decoded = DecodeWatchReply(EncodeWatchReply(reply));
    CPPUNIT_ASSERT(decoded.has_value());
    CPPUNIT_ASSERT(decoded->records == reply.records);
    CPPUNIT_ASSERT(decoded->members == reply.members);
    CPPUNIT_ASSERT(decoded->document == reply.document);
    CPPUNIT_ASSERT_EQUAL(reply.last_change, decoded->last_change);
    CPPUNIT_ASSERT_EQUAL(reply.entry_count, decoded->entry_count);
    CPPUNIT_ASSERT(decoded->loads == reply.loads);
  }

  void bytes_damaged_are_refused_without_a_crash() {
    const std::string sound = EncodeWatchReply(Reply());
    std::mt19937 random(20261203);
    for (int i = 0; i < 20'000; ++i) {
      std::string bytes = sound;
      bytes[random() % bytes.size()] = static_cast<char>(random());
      bytes.resize(random() % (bytes.size() + 1));
      DecodeWatchReply(bytes);
      DecodeWatchRequest(bytes);
    }
    CPPUNIT_ASSERT(!DecodeWatchReply("").has_value());
    CPPUNIT_ASSERT(!DecodeWatchReply(sound.substr(0, 9)).has_value());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(watch_codec_test);

}  // namespace marjoramsill
