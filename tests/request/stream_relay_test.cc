#include "request/stream_relay.h"

#include <cppunit/extensions/HelperMacros.h>

#include <nlohmann/json.hpp>

#include "request/schedule_check.h"

namespace marjoramsill {
namespace {

// One event with the given delta, as an engine writes it.
std::string Event(const std::string& id, const std::string& delta,
                  const std::string& finish = "null") {
  return R"(data: {"id":")" + id +
         R"(","created":5,"choices":[{"index":0,"delta":)" + delta +
         R"(,"finish_reason":)" + finish + "}]}\n\n";
}

constexpr const char* kRole = R"({"role":"assistant","content":""})";
constexpr const char* kHello = R"({"content":"hello"})";
constexpr const char* kWorld = R"({"content":" world"})";

}  // namespace

class stream_relay_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(stream_relay_test);
  CPPUNIT_TEST(parser_any_cut_gives_same_events);
  CPPUNIT_TEST(parser_garbage_has_typed_error);
  CPPUNIT_TEST(relay_passes_first_stream_unchanged);
  CPPUNIT_TEST(relay_drops_event_cut_by_a_broken_connection);
  CPPUNIT_TEST(relay_replay_continues_with_first_identity);
  CPPUNIT_TEST(relay_errors_are_typed);
  CPPUNIT_TEST(relay_non_text_cannot_be_replayed);
  CPPUNIT_TEST(relay_damaged_bytes_do_not_crash);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against events that are lost or split at a read boundary.
  void parser_any_cut_gives_same_events() {
    const std::string bytes =
        ": ping\r\n\r\nevent: x\rdata:a\rdata: b\n\nid: 7\n\ndata\n\ndata: "
        "[DONE]\n\n";
    const std::vector<std::string> expected = {"a\nb", "", "[DONE]"};
    for (std::size_t cut = 0; cut <= bytes.size(); ++cut) {
      sse_parser parser;
      std::vector<std::string> events;
      CPPUNIT_ASSERT(parser.Feed(bytes.substr(0, cut), events).has_value());
      CPPUNIT_ASSERT(parser.Feed(bytes.substr(cut), events).has_value());
      CPPUNIT_ASSERT(events == expected);
    }
  }

  // Guards against unbounded memory use, and against HTML that is taken for an
  // event stream.
  void parser_garbage_has_typed_error() {
    const auto error = [](const std::string& bytes) {
      sse_parser parser(32);
      std::vector<std::string> events;
      const auto first = parser.Feed(bytes, events);
      CPPUNIT_ASSERT(!first.has_value());
      CPPUNIT_ASSERT(!parser.Feed("data: x\n\n", events).has_value());
      return first.error();
    };
    CPPUNIT_ASSERT(error("<html>\n") == sse_error::kUnknownField);
    CPPUNIT_ASSERT(error(std::string("data: \0\n", 8)) ==
                   sse_error::kControlCharacter);
    CPPUNIT_ASSERT(error(std::string(33, 'd')) == sse_error::kEventTooLarge);
    CPPUNIT_ASSERT(error("data: 0123456789012\ndata: 0123456789012\n"
                         "data: 0123456789012\n") == sse_error::kEventTooLarge);
  }

  // Guards against changing or truncating the response of a fault-free
  // endpoint.
  void relay_passes_first_stream_unchanged() {
    const std::string bytes = Event("a", kRole) + Event("a", kHello) +
                              Event("a", "{}", "\"stop\"") + "data: [DONE]\n\n";
    stream_relay relay;
    relay.BeginStream();
    std::string output;
    CPPUNIT_ASSERT(relay.Feed(bytes, output).has_value());
    CPPUNIT_ASSERT_EQUAL(bytes, output);
    CPPUNIT_ASSERT(relay.done());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, relay.events());
    CPPUNIT_ASSERT_EQUAL(std::string("hello"), relay.text());
  }

  // Guards against delivering or counting an incomplete event.
  void relay_drops_event_cut_by_a_broken_connection() {
    stream_relay relay;
    relay.BeginStream();
    std::string output;
    CPPUNIT_ASSERT(
        relay.Feed(Event("a", kHello) + "data: {\"cho", output).has_value());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, relay.events());
    relay.ResumeStream();
    CPPUNIT_ASSERT(relay.Feed(Event("a", kWorld), output).has_value());
    CPPUNIT_ASSERT_EQUAL(Event("a", kHello) + Event("a", kWorld), output);
  }

  // Guards against a second role event or a changed id in the caller's stream.
  void relay_replay_continues_with_first_identity() {
    stream_relay relay;
    relay.BeginStream();
    std::string output;
    CPPUNIT_ASSERT(
        relay.Feed(Event("a", kRole) + Event("a", kHello), output).has_value());
    CPPUNIT_ASSERT(relay.can_replay());
    relay.BeginStream();
    output.clear();
    CPPUNIT_ASSERT(
        relay.Feed(Event("b", kRole) + Event("b", kWorld), output).has_value());
    CPPUNIT_ASSERT_EQUAL(Event("a", kWorld), output);
    CPPUNIT_ASSERT_EQUAL(std::string("hello world"), relay.text());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, relay.events());
    // Some engines send the role in the same event as the first text.
    output.clear();
    const std::string both = R"({"role":"assistant","content":" world"})";
    CPPUNIT_ASSERT(relay.Feed(Event("b", both), output).has_value());
    CPPUNIT_ASSERT_EQUAL(Event("a", kWorld), output);
  }

  // Guards against forwarding an endpoint's error as part of the response.
  void relay_errors_are_typed() {
    const auto error = [](const std::string& bytes) {
      stream_relay relay;
      relay.BeginStream();
      std::string output;
      const auto fed = relay.Feed(bytes, output);
      CPPUNIT_ASSERT(!fed.has_value());
      return fed.error();
    };
    const std::string done = "data: [DONE]\n\n";
    CPPUNIT_ASSERT(error("<html>\n") == relay_error::kBadEventStream);
    CPPUNIT_ASSERT(error("data: {\n\n") == relay_error::kBadChunk);
    CPPUNIT_ASSERT(error("data: 7\n\n") == relay_error::kBadChunk);
    CPPUNIT_ASSERT(error("data: {\"choices\":[7]}\n\n") ==
                   relay_error::kBadChunk);
    CPPUNIT_ASSERT(error(done) == relay_error::kBadChunk);
    CPPUNIT_ASSERT(error("data: {\"error\":{}}\n\n") ==
                   relay_error::kEndpointError);
    CPPUNIT_ASSERT(error(Event("a", kHello) + done + Event("a", kHello)) ==
                   relay_error::kDataAfterDone);
  }

  // Guards against a replay that repeats or loses content other than plain
  // text.
  void relay_non_text_cannot_be_replayed() {
    for (const std::string& event :
         {Event("a", R"({"tool_calls":[{"index":0}]})"),
          Event("a", "{}", "\"stop\""),
          std::string("data: {\"choices\":[{\"index\":1,\"delta\":{}}]}\n\n"),
          std::string("data: {\"choices\":[],\"usage\":{}}\n\n")}) {
      stream_relay relay;
      relay.BeginStream();
      std::string output;
      CPPUNIT_ASSERT(relay.Feed(event, output).has_value());
      CPPUNIT_ASSERT(!relay.can_replay());
    }
  }

  // Guards against crashes on damaged events, and against output that a caller
  // could not parse.
  void relay_damaged_bytes_do_not_crash() {
    const std::string good = Event("a", kRole) + Event("a", kHello) +
                             Event("a", kWorld) + "data: [DONE]\n\n";
    CheckProperty("damaged event streams", 3000, [&good] {
      const schedule steps = *ScheduleOf(4);
      std::string bytes = good;
      bytes[steps[0] % bytes.size()] = static_cast<char>(steps[1]);
      bytes[steps[2] % bytes.size()] = static_cast<char>(steps[3]);
      stream_relay relay;
      relay.BeginStream();
      std::string output;
      (void)relay.Feed(Event("z", kHello), output).has_value();
      relay.BeginStream();
      (void)relay.Feed(bytes, output).has_value();
      sse_parser parser;
      std::vector<std::string> events;
      RC_ASSERT(parser.Feed(output, events).has_value());
      for (const std::string& data : events) {
        RC_ASSERT((data == "[DONE]" || nlohmann::json::accept(data)));
      }
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(stream_relay_test);

}  // namespace marjoramsill
