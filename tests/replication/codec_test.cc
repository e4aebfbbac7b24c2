#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include "process/replication/message_codec.h"

namespace marjoramsill {
namespace {

group_configuration SampleConfiguration() {
  group_configuration configuration;
  configuration.Set(
      {{vm_id("perth-1"), disk_id(7)}, failure_domain_id("perth"), true});
  configuration.Set({{vm_id("bunbury-1"), disk_id(~0ULL)},
                     failure_domain_id("bunbury"),
                     false});
  return configuration;
}

std::vector<raft_body> SampleBodies() {
  const log_entry entry{log_index(6), log_term(2), entry_kind::kCommand,
                        std::string("\0\xff", 2)};
  return {vote_request{true, false, log_index(5), log_term(3)},
          vote_response{false, true},
          heartbeat{300, log_index(70000)},
          heartbeat_response{300},
          append_request{1, log_index(5), log_term(2), log_index(4), {entry}},
          append_response{1, true, log_index(6), 9},
          snapshot_part{1, log_index(5), log_term(2), SampleConfiguration(), 11,
                        3, 8, "bytes"},
          snapshot_response{1, log_index(5), 8},
          timeout_now{},
          join_request{failure_domain_id("perth"), 12},
          join_response{},
          join_response{member_id{vm_id("perth-1"), disk_id(7)}},
          leave_request{},
          bootstrap_query{},
          bootstrap_response{true, failure_domain_id("perth"), 13},
          start_query{4, 14},
          start_response{14, true, log_index(9), log_index(8),
                         SampleConfiguration()}};
}

std::vector<group_message> SampleBundle() {
  std::vector<group_message> bundle;
  for (const raft_body& body : SampleBodies()) {
    bundle.push_back({static_cast<std::uint32_t>(bundle.size()),
                      {{vm_id("perth-1"), disk_id(7)},
                       {vm_id("bunbury-1"), disk_id(8)},
                       log_term(3),
                       body}});
  }
  return bundle;
}

}  // namespace

class codec_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(codec_test);
  CPPUNIT_TEST(bundle_each_body_decodes_to_itself);
  CPPUNIT_TEST(bundle_damaged_never_breaks_the_decoder);
  CPPUNIT_TEST(bundle_over_limit_is_too_large);
  CPPUNIT_TEST(bundle_entries_with_gap_are_refused);
  CPPUNIT_TEST(message_with_newer_field_is_accepted);
  CPPUNIT_TEST(heartbeat_in_shared_bundle_is_small);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against fields that are packed and read in different orders.
  void bundle_each_body_decodes_to_itself() {
    auto decoded = DecodeBundle(EncodeBundle(SampleBundle()));
    CPPUNIT_ASSERT(decoded.has_value());
    CPPUNIT_ASSERT(decoded.value() == SampleBundle());
    auto configuration =
        DecodeConfiguration(EncodeConfiguration(SampleConfiguration()));
    CPPUNIT_ASSERT(configuration.value() == SampleConfiguration());
  }

  // Guards against crashes and unbounded allocation on damaged input.
  void bundle_damaged_never_breaks_the_decoder() {
    const std::string valid = EncodeBundle(SampleBundle());
    CPPUNIT_ASSERT(rc::check("damaged bundles are refused or decoded", [&] {
      std::string bytes = valid;
      const int changes = *rc::gen::inRange(1, 8);
      for (int i = 0; i < changes; ++i) {
        bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] =
            *rc::gen::arbitrary<char>();
      }
      bytes.resize(*rc::gen::inRange<std::size_t>(0, bytes.size() + 1));
      auto decoded = DecodeBundle(bytes);
      if (!decoded) RC_ASSERT(!decoded.error().field.empty());
      (void)DecodeConfiguration(bytes);
    }));
    for (std::size_t size = 0; size < valid.size(); ++size) {
      CPPUNIT_ASSERT(!DecodeBundle(valid.substr(0, size)).has_value());
    }
    CPPUNIT_ASSERT(!DecodeBundle(valid + "x").has_value());
    // The header of an array with 2^32 - 1 elements.
    CPPUNIT_ASSERT(!DecodeBundle("\xdd\xff\xff\xff\xff").has_value());
    CPPUNIT_ASSERT(!DecodeBundle(std::string(100, '\x91')).has_value());
  }

  // Guards against a peer that causes excessive memory use.
  void bundle_over_limit_is_too_large() {
    const std::string valid = EncodeBundle(SampleBundle());
    codec_limits limits;
    limits.max_bytes = valid.size() - 1;
    CPPUNIT_ASSERT(DecodeBundle(valid, limits).error().kind ==
                   codec_error_kind::kTooLarge);
    limits = {};
    limits.max_messages = 3;
    CPPUNIT_ASSERT(!DecodeBundle(valid, limits).has_value());
  }

  // Guards against entries that a follower would store at the wrong index.
  void bundle_entries_with_gap_are_refused() {
    append_request request;
    request.previous_index = log_index(5);
    request.entries.push_back(
        {log_index(7), log_term(1), entry_kind::kCommand, "x"});
    auto decoded = DecodeBundle(EncodeBundle({{0, {{}, {}, {}, request}}}));
    CPPUNIT_ASSERT(decoded.error().kind == codec_error_kind::kOutOfRange);
    CPPUNIT_ASSERT_EQUAL(std::string("entry.index"), decoded.error().field);
  }

  // Guards against members that refuse messages of a newer version. The bundle
  // is [from vm, from disk, to vm, to disk, [[group, type 3, term, round,
  // new]]].
  void message_with_newer_field_is_accepted() {
    const std::string bytes{'\x95', '\xa1', 'a',    1, '\xa1', 'b', 2,
                            '\x91', '\x95', '\x00', 3, 5,      9,   42};
    auto decoded = DecodeBundle(bytes);
    CPPUNIT_ASSERT(decoded.has_value());
    CPPUNIT_ASSERT(decoded.value()[0].message.body ==
                   raft_body(heartbeat_response{9}));
  }

  // Guards against idle traffic that grows too much with the number of groups:
  // nine groups at 1.67 heartbeats per second must use only a small part of
  // 3,000 bytes per second.
  void heartbeat_in_shared_bundle_is_small() {
    std::vector<group_message> bundle;
    for (std::uint32_t group = 0; group < 9; ++group) {
      bundle.push_back({group,
                        {{vm_id("hamilton-a-1"), disk_id(~0ULL)},
                         {vm_id("hamilton-b-1"), disk_id(~0ULL)},
                         log_term(1000),
                         heartbeat{100000, log_index(1ULL << 31)}}});
    }
    const std::size_t nine = EncodeBundle(bundle).size();
    bundle.resize(1);
    const std::size_t one = EncodeBundle(bundle).size();
    CPPUNIT_ASSERT((nine - one) / 8 <= 20);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(codec_test);

}  // namespace marjoramsill
