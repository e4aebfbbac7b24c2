#include "process/membership/peer_codec.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <msgpack.hpp>
#include <random>

namespace marjoramsill {

class peer_codec_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(peer_codec_test);
  CPPUNIT_TEST(message_generated_round_trips);
  CPPUNIT_TEST(message_damaged_is_refused_or_read);
  CPPUNIT_TEST(message_oversized_or_deep_is_refused);
  CPPUNIT_TEST(message_newer_field_is_tolerated);
  CPPUNIT_TEST(heartbeat_encoded_is_small);
  CPPUNIT_TEST_SUITE_END();

  using reason = peer_decode_error::reason;

  static peer_message Generate(std::uint64_t seed) {
    std::mt19937_64 random(seed);
    const auto number = [&] { return random() >> (random() % 64); };
    const auto small = [&] { return static_cast<std::uint32_t>(random()); };
    const auto name = [&](const char* prefix) {
      return prefix + std::to_string(random() % 1000);
    };
    const auto holder = [&] {
      return holder_id{vm_id(name("vm-")), incarnation_number(number())};
    };
    const auto record = [&] {
      lease_record made;
      made.endpoint = {endpoint_id(name("e-")),
                       incarnation_number(number()),
                       name("10.0.0.1:"),
                       failure_domain_id(name("d-")),
                       static_cast<endpoint_state>(random() % 2),
                       {model_id(name("m-")), model_id(name("s-"))},
                       static_cast<std::uint32_t>(1 + random() % 1000),
                       {}};
      made.sequence = number();
      made.epoch = number();
      made.silent = random() % 2 == 1;
      return made;
    };
    peer_message message;
    message.from = holder();
    message.sequence = number();
    message.timestamp_ms = number();
    message.echo_incarnation = incarnation_number(number());
    message.echo_ms = number();
    message.held_ms = number();
    for (std::uint64_t i = random() % 8; i > 0; --i) {
      lease_summary summary{number(),
                            77,
                            std::chrono::milliseconds(random() % 5000),
                            {number(), number()},
                            {{number(), 3}}};
      message.heartbeats.push_back(
          {small(), document_version(number()), summary});
      message.changes.push_back({holder(), number(), record()});
      message.digests.push_back({failure_domain_id(name("d-")), number()});
      message.position_requests.emplace_back(name("d-"));
      message.positions.push_back({holder(), number(), 7});
      message.record_requests.push_back({small(), number()});
      message.records.push_back(
          {holder(), number(), number(), i % 2 == 0, {record(), record()}});
    }
    return message;
  }

 public:
  // Guards against fields that are lost or swapped in encoding.
  void message_generated_round_trips() {
    CPPUNIT_ASSERT(rc::check("round trip", [](std::uint64_t seed) {
      const peer_message message = Generate(seed);
      const auto decoded = DecodePeerMessage(EncodePeerMessage(message));
      RC_ASSERT(decoded.has_value());
      RC_ASSERT(decoded.value() == message);
    }));
  }

  // Guards against crashes and out-of-bounds reads on malformed input.
  void message_damaged_is_refused_or_read() {
    CPPUNIT_ASSERT(rc::check(
        "damage", [](std::uint64_t seed, std::uint64_t at, std::uint8_t byte) {
          std::string bytes = EncodePeerMessage(Generate(seed));
          const std::string cut = bytes.substr(0, at % bytes.size());
          RC_ASSERT(!DecodePeerMessage(cut));
          RC_ASSERT(!DecodePeerMessage(bytes + "x"));
          bytes[at % bytes.size()] = static_cast<char>(byte);
          (void)DecodePeerMessage(bytes);
        }));
  }

  // Guards against memory and stack use controlled by a peer.
  void message_oversized_or_deep_is_refused() {
    const auto large = DecodePeerMessage(std::string(20000, 'x'));
    CPPUNIT_ASSERT(!large);
    CPPUNIT_ASSERT(large.error().why == reason::kTooLarge);
    const auto deep = DecodePeerMessage(std::string(1000, '\x91'));
    CPPUNIT_ASSERT(!deep);
    CPPUNIT_ASSERT(deep.error().why == reason::kTooDeep);
    // An array with a declared length of 2^32 - 1 elements.
    const auto wide = DecodePeerMessage("\xdd\xff\xff\xff\xff");
    CPPUNIT_ASSERT(!wide);
    CPPUNIT_ASSERT(wide.error().why == reason::kTooLong);
    peer_message message = Generate(1);
    message.record_requests.assign(600, {1, 1});
    const auto list = DecodePeerMessage(EncodePeerMessage(message));
    CPPUNIT_ASSERT(!list);
    CPPUNIT_ASSERT(list.error().why == reason::kTooLong);
    CPPUNIT_ASSERT_EQUAL(std::string("wanted records"), list.error().field);
  }

  // Guards against a message format that prevents rolling upgrades.
  void message_newer_field_is_tolerated() {
    peer_message message = Generate(3);
    message.record_requests.assign(1, {1, 1});
    std::string bytes = EncodePeerMessage(message);
    CPPUNIT_ASSERT_EQUAL('\x9d', bytes[0]);
    bytes[0] = '\x9e';
    bytes += '\x07';
    const auto decoded = DecodePeerMessage(bytes);
    CPPUNIT_ASSERT(decoded.has_value());
    CPPUNIT_ASSERT(decoded.value() == message);
  }

  // Guards against heartbeats that exceed 3,000 bytes per second at 330 VMs.
  void heartbeat_encoded_is_small() {
    peer_message message;
    message.from = {vm_id("perth-entry-1"), incarnation_number(1764000000)};
    const std::size_t before = EncodePeerMessage(message).size();
    lease_summary summary{300, 65535, std::chrono::milliseconds(900), {}, {}};
    message.heartbeats.push_back({0xffffffff, document_version(2700), summary});
    CPPUNIT_ASSERT(before <= 48);
    CPPUNIT_ASSERT(EncodePeerMessage(message).size() - before <= 20);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(peer_codec_test);

}  // namespace marjoramsill
