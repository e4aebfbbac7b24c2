#include "process/admission/limit_codec.h"

#include <cppunit/extensions/HelperMacros.h>

namespace marjoramsill {
namespace {

limit_message Example() {
  limit_message message;
  message.kind = limit_message_kind::kShareGrant;
  message.workspace = workspace_id("federation");
  message.sequence = (std::uint64_t{3} << 32U) + 7;
  message.limit = {.version = section_version(9),
                   .tokens_per_second = 6000,
                   .concurrent = 60};
  message.tokens_per_second = 1250.5;
  message.concurrent = 12;
  message.held_tokens_per_second = 0.25;
  message.held_concurrent = 3;
  message.burst_tokens = 100;
  message.returned_tokens = 2;
  message.recalls = 1;
  message.duration_ms = 4000;
  return message;
}

}  // namespace

class limit_codec_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(limit_codec_test);
  CPPUNIT_TEST(codec_returns_every_field);
  CPPUNIT_TEST(codec_every_truncation_is_refused);
  CPPUNIT_TEST(codec_every_changed_byte_is_survived);
  CPPUNIT_TEST(codec_out_of_range_field_is_named);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against fields that are lost or swapped.
  void codec_returns_every_field() {
    const auto decoded = DecodeLimitMessages(EncodeLimitMessages({Example()}));
    CPPUNIT_ASSERT(decoded.has_value());
    const limit_message sent = Example();
    const limit_message& message = decoded.value().at(0);
    CPPUNIT_ASSERT(message.kind == sent.kind &&
                   message.workspace == sent.workspace);
    CPPUNIT_ASSERT(message.sequence == sent.sequence);
    CPPUNIT_ASSERT(message.limit.version == sent.limit.version);
    CPPUNIT_ASSERT_EQUAL(6000.0, message.limit.tokens_per_second);
    CPPUNIT_ASSERT_EQUAL(60U, message.limit.concurrent);
    CPPUNIT_ASSERT_EQUAL(1250.5, message.tokens_per_second);
    CPPUNIT_ASSERT_EQUAL(12U, message.concurrent);
    CPPUNIT_ASSERT_EQUAL(0.25, message.held_tokens_per_second);
    CPPUNIT_ASSERT_EQUAL(3U, message.held_concurrent);
    CPPUNIT_ASSERT_EQUAL(100.0, message.burst_tokens);
    CPPUNIT_ASSERT_EQUAL(2.0, message.returned_tokens);
    CPPUNIT_ASSERT_EQUAL(1U, message.recalls);
    CPPUNIT_ASSERT_EQUAL(4000U, message.duration_ms);
  }

  // Guards against a read past the end of a message.
  void codec_every_truncation_is_refused() {
    const std::string bytes = EncodeLimitMessages({Example()});
    for (std::size_t size = 0; size < bytes.size(); ++size) {
      CPPUNIT_ASSERT(DecodeLimitMessages(bytes.substr(0, size)).has_failure());
    }
    const auto large = DecodeLimitMessages(std::string(kMaxLimitBytes + 1, 0));
    CPPUNIT_ASSERT(large.error().kind == limit_decode_error_kind::kTooLarge);
  }

  // Guards against corrupt messages that crash the process or yield an
  // out-of-range enum value. The sanitizer builds run this test too.
  void codec_every_changed_byte_is_survived() {
    const std::string bytes = EncodeLimitMessages({Example(), Example()});
    for (std::size_t i = 0; i < bytes.size(); ++i) {
      for (int value = 0; value < 256; ++value) {
        std::string changed = bytes;
        changed[i] = static_cast<char>(value);
        const auto decoded = DecodeLimitMessages(changed);
        if (decoded.has_failure()) continue;
        for (const limit_message& message : decoded.value()) {
          CPPUNIT_ASSERT(message.kind <= limit_message_kind::kLeaseGrant);
          CPPUNIT_ASSERT(message.tokens_per_second >= 0);
        }
      }
    }
  }

  // Guards against an error that does not name the invalid field.
  void codec_out_of_range_field_is_named() {
    std::string bytes = EncodeLimitMessages({Example()});
    bytes[2] = 9;  // After the headers of the batch and the message: the kind.
    const auto decoded = DecodeLimitMessages(bytes);
    CPPUNIT_ASSERT(decoded.error().kind ==
                   limit_decode_error_kind::kOutOfRange);
    CPPUNIT_ASSERT_EQUAL(std::string("kind"), decoded.error().field);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(limit_codec_test);

}  // namespace marjoramsill
