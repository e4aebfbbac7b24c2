#include <cppunit/extensions/HelperMacros.h>

#include <asio/connect.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>
#include <cstddef>
#include <memory>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include "fleet_fixture.h"
#include "platform/field_names.h"
#include "raw_endpoint.h"

namespace marjoramsill {

using std::chrono::milliseconds;

/// An entry process in front of an endpoint whose answers have neither a length
/// nor chunks, and which breaks them off at every place.
class broken_answer_test : public fleet_fixture {
  CPPUNIT_TEST_SUITE(broken_answer_test);
  CPPUNIT_TEST(stream_closed_at_every_byte_is_complete_only_after_an_event);
  CPPUNIT_TEST(event_stream_on_plain_route_is_complete_only_after_an_event);
  CPPUNIT_TEST(answer_reset_at_every_byte_is_never_complete);
  CPPUNIT_TEST(head_closed_at_every_byte_is_never_complete);
  CPPUNIT_TEST(framed_answer_closed_at_every_byte_is_never_complete);
  CPPUNIT_TEST(framed_stream_that_ends_inside_an_event_is_not_complete);
  CPPUNIT_TEST(answer_of_endpoint_that_ended_is_never_complete);
  CPPUNIT_TEST(
      answer_of_ended_endpoint_beside_idle_connections_is_not_complete);
  CPPUNIT_TEST(answer_of_endpoint_that_refuses_connections_is_complete);
  CPPUNIT_TEST(broken_answer_without_chunks_is_reset_for_its_caller);
  CPPUNIT_TEST_SUITE_END();

  static constexpr std::uint16_t kPort = 29'000;

  static constexpr const char* kHead =
      "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Signature: raw\r\n";
  static constexpr const char* kEventStream =
      "Content-Type: text/event-stream\r\n";

  /// A part of a stream; `ends_whole`: the stream is whole if it ends after it.
  struct stream_piece {
    std::string bytes;
    bool ends_whole = false;
  };
  using stream_pieces = std::vector<stream_piece>;

  /// Streams with all line ends of the event stream format.
  static std::vector<stream_pieces> Streams() {
    return {
        {{"id: 1\ndata: a\n\n", true}, {"id: 2\ndata: b\n\n", true}},
        {{"id: 1\r\ndata: a\r\n\r", true},
         {"\n", true},
         {"data: b\r\n", false}},
        {{"id: 1\rdata: a\r\r", true}, {"data: b\r\r", true}},
        {{"data: a\n\r", true},
         {"\n", true},
         {": still here\n", true},
         {"data", false}},
        {{": comment\n\n", false}, {"id: 3\n\n", false}, {"data: a\n\n", true}},
        {{"event: end\n\n", false}, {"data\n\n", true}},
    };
  }

  std::unique_ptr<raw_endpoint> endpoint_;
  int number_ = 0;

  int Ask(const std::string& path) {
    return Status(0, path, "broken" + std::to_string(++number_));
  }

  void CheckAnswer(const std::string& path, const raw_answer& answer,
                   bool is_whole) {
    endpoint_->SetAnswer(answer);
    const int status = Ask(path);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(path + " after: " + answer.begin, is_whole,
                                 status == 200);
  }

  /// Ends each stream at each of its bytes.
  void CheckStreams(const std::string& path, const std::string& head) {
    for (const stream_pieces& pieces : Streams()) {
      std::string sent;
      bool is_whole = false;
      CheckAnswer(path, {head + "\r\n", "", raw_end::kClose}, false);
      for (const stream_piece& piece : pieces) {
        for (std::size_t i = 0; i < piece.bytes.size(); ++i) {
          sent += piece.bytes[i];
          is_whole = i + 1 == piece.bytes.size() && piece.ends_whole;
          CheckAnswer(path, {head + "\r\n" + sent, "", raw_end::kClose},
                      is_whole);
        }
      }
    }
  }

  /// Overlapping answers that end with their connection. The check of each end
  /// leaves an idle connection to the endpoint.
  void LeaveIdleConnections() {
    constexpr int kAnswers = 4;
    constexpr milliseconds kBetweenAnswers{40};
    endpoint_->SetAnswer({std::string(kHead) + "\r\ndata: a\n\n",
                          "",
                          raw_end::kClose,
                          "",
                          {"data: b\n\n"},
                          kAnswers * kBetweenAnswers});
    int complete = 0;
    for (int i = 0; i < kAnswers; ++i) {
      Send(0, "/raw-ask/", "idle" + std::to_string(++number_), {},
           [&complete](int status) { complete += status == 200 ? 1 : 0; });
      RunFor(kBetweenAnswers);
    }
    CPPUNIT_ASSERT(RunUntil([&complete] { return complete == kAnswers; }));
  }

  struct old_response {
    std::string bytes;
    bool is_reset = false;
  };

  /// Sends a request of a caller that accepts no chunks.
  old_response AskWithoutChunks(const std::string& path) {
    const soak::soak_node& entry = *fleet_->EntryNodes()[0];
    asio::ip::tcp::socket socket(io_);
    socket.connect(
        {asio::ip::make_address(entry.callers.ip), entry.callers.port});
    const std::string request =
        "POST " + path + "x HTTP/1.0\r\nHost: soak.example\r\n" +
        platform::kRequestId + ": old" + std::to_string(++number_) + "\r\n" +
        platform::kRemainingMs + ": 2500\r\nContent-Length: 0\r\n\r\n";
    asio::write(socket, asio::buffer(request));
    old_response response;
    std::error_code ended;
    asio::async_read(socket, asio::dynamic_buffer(response.bytes),
                     [&ended](std::error_code error, std::size_t /*bytes*/) {
                       ended = error;
                     });
    CPPUNIT_ASSERT(RunUntil([&ended] { return static_cast<bool>(ended); }));
    response.is_reset = ended != asio::error::eof;
    return response;
  }

 public:
  void setUp() override {
    soak::soak_settings settings;
    settings.port = kPort;
    settings.entry_processes = 1;
    settings.endpoints = 1;
    StartFleet(settings, MARJORAMSILL_BINARY, MARJORAMSILL_FOLDER);
    endpoint_ = std::make_unique<raw_endpoint>(
        io_, socket_address{"127.0.2.9", kPort + 9},
        [this] { return fleet_->ControlNodes()[0]->control; });
    endpoint_->SetAnswer({"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", ""});
    CPPUNIT_ASSERT(RunUntil([this] { return Ask("/raw-ask/") == 500; }));
  }

  void tearDown() override {
    endpoint_.reset();
    fleet_fixture::tearDown();
  }

  // Guards against a stream that looks complete to its caller although its
  // endpoint broke it off.
  void stream_closed_at_every_byte_is_complete_only_after_an_event() {
    for (const char* path : {"/raw-stream/", "/raw-resumable/"}) {
      CheckStreams(path, std::string(kHead) + kEventStream);
    }
  }

  void event_stream_on_plain_route_is_complete_only_after_an_event() {
    CheckStreams("/raw-ask/", std::string(kHead) + kEventStream);
  }

  void answer_reset_at_every_byte_is_never_complete() {
    for (const char* path :
         {"/raw-ask/", "/raw-book/", "/raw-stream/", "/raw-resumable/"}) {
      const std::string whole = std::string(kHead) + "\r\ndata: a\n\n";
      for (std::size_t i = 1; i <= whole.size(); ++i) {
        CheckAnswer(path, {whole.substr(0, i), "", raw_end::kReset}, false);
      }
    }
  }

  void head_closed_at_every_byte_is_never_complete() {
    for (const char* path :
         {"/raw-ask/", "/raw-book/", "/raw-stream/", "/raw-resumable/"}) {
      const std::string head = std::string(kHead) + "\r\n";
      for (std::size_t i = 1; i < head.size(); ++i) {
        CheckAnswer(path, {head.substr(0, i), "", raw_end::kClose}, false);
      }
    }
  }

  // Guards against an empty or short body that looks complete, because the
  // endpoint closed in the middle of a head, of a length or of a chunk.
  void framed_answer_closed_at_every_byte_is_never_complete() {
    const std::string head = kHead;
    const std::string event = "data: a\n\n";
    for (const std::string& whole :
         {head + "Content-Length: 9\r\n\r\n" + event,
          head + "Transfer-Encoding: chunked\r\n\r\n9\r\n" + event +
              "\r\n0\r\n\r\n"}) {
      for (const char* path : {"/raw-ask/", "/raw-book/", "/raw-stream/"}) {
        for (std::size_t i = 1; i < whole.size(); ++i) {
          CheckAnswer(path, {whole.substr(0, i), "", raw_end::kClose}, false);
        }
        CheckAnswer(path, {whole, "", raw_end::kClose}, true);
      }
    }
  }

  // Guards against a stream that a faulty endpoint ends inside an event, and
  // whose chunks or length make it look complete.
  void framed_stream_that_ends_inside_an_event_is_not_complete() {
    const std::string head = std::string(kHead) + kEventStream;
    const std::string events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
    constexpr std::size_t kEvent = 15;
    for (const char* path : {"/raw-ask/", "/raw-stream/", "/raw-resumable/"}) {
      for (std::size_t i = 1; i <= events.size(); ++i) {
        const std::string sent = events.substr(0, i);
        const bool is_whole = i % kEvent == 0;
        CheckAnswer(
            path,
            {head + "Content-Length: " + std::to_string(i) + "\r\n\r\n" + sent,
             "", raw_end::kKeep},
            is_whole);
        std::ostringstream chunk;
        chunk << std::hex << i << "\r\n" << sent << "\r\n0\r\n\r\n";
        CheckAnswer(path,
                    {head + "Transfer-Encoding: chunked\r\n\r\n" + chunk.str(),
                     "", raw_end::kKeep},
                    is_whole);
      }
    }
  }

  // Guards against an answer that looks complete although its endpoint ended
  // between two events, or in the middle of a plain body.
  void answer_of_endpoint_that_ended_is_never_complete() {
    for (const char* path :
         {"/raw-ask/", "/raw-book/", "/raw-stream/", "/raw-resumable/"}) {
      CheckAnswer(
          path,
          {std::string(kHead) + "\r\ndata: a\n\n", "", raw_end::kProcessEnd},
          false);
      endpoint_->Restart();
      CheckAnswer(path,
                  {std::string(kHead) + "\r\ndata: a\n\n", "", raw_end::kClose},
                  true);
    }
  }

  // Guards against an idle connection that counts as a sign of life, although
  // nobody has read its end.
  void answer_of_ended_endpoint_beside_idle_connections_is_not_complete() {
    for (const char* path : {"/raw-stream/", "/raw-book/"}) {
      LeaveIdleConnections();
      CheckAnswer(
          path,
          {std::string(kHead) + "\r\ndata: a\n\n", "", raw_end::kProcessEnd},
          false);
      endpoint_->Restart();
    }
  }

  // Guards against a whole answer that counts as broken off, because its
  // endpoint has too many connections to accept another one.
  void answer_of_endpoint_that_refuses_connections_is_complete() {
    LeaveIdleConnections();
    const std::string begin = std::string(kHead) + "\r\ndata: a\n\n";
    endpoint_->SetAnswer(
        {begin, "data: b\n\n", raw_end::kClose, "", {}, milliseconds(20)});
    Send(0, "/raw-stream/", "other" + std::to_string(++number_), {},
         [](int /*status*/) {});
    RunFor(milliseconds(100));
    endpoint_->StopListening();
    CheckAnswer("/raw-stream/", {begin, "", raw_end::kClose}, true);
  }

  // Guards against a broken stream that ends like a whole one for a caller
  // whose response ends with its connection.
  void broken_answer_without_chunks_is_reset_for_its_caller() {
    const std::string head = std::string(kHead) + "\r\n";
    for (const char* path : {"/raw-stream/", "/raw-resumable/"}) {
      endpoint_->SetAnswer({head + "data: a\n\ndata: b", ""});
      CPPUNIT_ASSERT(AskWithoutChunks(path).is_reset);
      endpoint_->SetAnswer({head + "data: a\n\n", ""});
      const old_response whole = AskWithoutChunks(path);
      CPPUNIT_ASSERT(!whole.is_reset);
      CPPUNIT_ASSERT(whole.bytes.ends_with("data: a\n\n"));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(broken_answer_test);

}  // namespace marjoramsill
