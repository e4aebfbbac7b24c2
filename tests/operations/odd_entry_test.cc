#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <cstddef>
#include <iostream>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "fleet_fixture.h"
#include "http_call.h"

namespace marjoramsill {

using std::chrono::milliseconds;

/// Another writer sends odd entries to the control processes, beside the
/// heartbeats of sound endpoints.
class odd_entry_test : public fleet_fixture {
  CPPUNIT_TEST_SUITE(odd_entry_test);
  CPPUNIT_TEST(entry_with_a_number_too_large_disturbs_no_sound_endpoint);
  CPPUNIT_TEST(entry_with_an_unusable_address_disturbs_no_sound_endpoint);
  CPPUNIT_TEST(entry_with_an_unusable_text_disturbs_no_sound_endpoint);
  CPPUNIT_TEST(entry_that_cannot_be_read_disturbs_no_sound_endpoint);
  CPPUNIT_TEST(entry_of_an_unnamed_pool_takes_no_address_of_a_named_one);
  CPPUNIT_TEST(entry_of_an_unnamed_pool_leaves_its_address_to_a_named_one);
  CPPUNIT_TEST_SUITE_END();

  static constexpr std::uint16_t kPort = 18'000;
  static constexpr std::size_t kEntries = 3;
  static constexpr std::size_t kEndpoints = 4;
  static constexpr milliseconds kInterval{10};
  static constexpr milliseconds kAnswerTimeout{3'000};
  /// After this time an endpoint that sends no heartbeats counts as silent.
  static constexpr milliseconds kSilentTime{5'000};
  static constexpr std::size_t kLongText = 1'000'000;
  static constexpr int kNesting = 200'000;

  struct odd_entry {
    std::string id;
    std::string body;
  };

  int number_ = 0;
  int sent_ = 0;
  int served_ = 0;

  /// A heartbeat at the address of a sound endpoint, with one field replaced by
  /// this JSON text.
  odd_entry Entry(const std::string& id, const std::string& field,
                  const std::string& text) const {
    const std::vector<std::pair<std::string, std::string>> usual = {
        {"service", "\"svc\""},
        {"address", "\"" + fleet_->endpoints()[0]->announced() + "\""},
        {"zone", "\"d0\""},
        {"version", "\"v1\""},
        {"slots", "32"},
        {"state", "\"ready\""},
        {"coldRemainingMs", "0"},
        {"sequence", "1"},
        {"born", "1700000000000"}};
    std::string body = "{";
    for (const auto& [name, value] : usual) {
      if (body.size() > 1) body += ",";
      body += "\"" + name + "\":" + (name == field ? text : value);
    }
    return {id, body + "}"};
  }

  static std::string Repeated(const std::string& text, int times) {
    std::string repeated;
    for (int i = 0; i < times; ++i) repeated += text;
    return repeated;
  }

  static std::string Quoted(const std::string& text) {
    return "\"" + text + "\"";
  }

  /// Sends the entry to a control process. Returns the status of the answer, or
  /// 0.
  int Deliver(const soak::soak_node& node, const odd_entry& entry) {
    std::optional<int> status;
    soak::Call(
        io_, node.control,
        soak::RequestText("PUT", "/instances/" + entry.id, {}, entry.body),
        kAnswerTimeout,
        [&status](const std::optional<soak::http_response>& response) {
          status = response ? response->head.status : 0;
        });
    CPPUNIT_ASSERT(RunUntil([&status] { return status.has_value(); }));
    return *status;
  }

  /// Sends the entry to every control process. None may accept it.
  void Leave(const odd_entry& entry) {
    for (const soak::soak_node* node : fleet_->ControlNodes()) {
      const int status = Deliver(*node, entry);
      const std::string text = entry.body.substr(0, 200);
      CPPUNIT_ASSERT_MESSAGE(text, status >= 400 || status == 0);
    }
  }

  /// A heartbeat of a pool that no document names, at this address, of an
  /// endpoint that starts later than all others.
  static odd_entry UnnamedPoolAt(const std::string& address) {
    const auto now = std::chrono::system_clock::now().time_since_epoch() +
                     std::chrono::minutes(10);
    const auto start = std::chrono::duration_cast<milliseconds>(now).count();
    return {"odd", R"({"service":"printer","address":")" + address +
                       R"(","zone":"d0","version":"v1","slots":32,)"
                       R"("state":"ready","coldRemainingMs":0,)"
                       R"("sequence":1,"born":)" +
                       std::to_string(start) + "}"};
  }

  void SendOne() {
    ++sent_;
    const int number = ++number_;
    Send(static_cast<std::size_t>(number) % kEntries, "/look/",
         "r" + std::to_string(number), {},
         [this](int status) { served_ += status == 200; });
  }

  void Play(milliseconds duration) {
    const auto end = std::chrono::steady_clock::now() + duration;
    while (std::chrono::steady_clock::now() < end) {
      SendOne();
      RunFor(kInterval);
    }
  }

  void CheckSound(const std::vector<odd_entry>& entries) {
    for (const odd_entry& entry : entries) {
      Play(milliseconds(100));
      Leave(entry);
    }
    // The last endpoint starts now: the entry processes still follow.
    fleet_->endpoints().back()->Start();
    Play(milliseconds(4'000));
    const auto recent = std::chrono::steady_clock::now() - milliseconds(1'500);
    for (const auto& endpoint : fleet_->endpoints()) {
      CPPUNIT_ASSERT_MESSAGE(endpoint->id(), !endpoint->arrivals().empty());
      CPPUNIT_ASSERT_MESSAGE(endpoint->id(),
                             endpoint->arrivals().back() > recent);
    }
    RunFor(milliseconds(500));
    std::cout << " served " << served_ << " of " << sent_ << std::endl;
    CPPUNIT_ASSERT_EQUAL(sent_, served_);
    fleet_->CheckNodes();
    CPPUNIT_ASSERT(ledger_.violations().empty());
  }

 public:
  void setUp() override {
    soak::soak_settings settings;
    settings.port = kPort;
    settings.entry_processes = kEntries;
    settings.endpoints = kEndpoints;
    settings.software = {"v1"};
    StartFleet(settings, MARJORAMSILL_BINARY, MARJORAMSILL_FOLDER);
    fleet_->endpoints().back()->Crash();
    Play(milliseconds(500));
    RunFor(milliseconds(500));
    sent_ = 0;
    served_ = 0;
  }

  // Guards against an entry whose start lies after that of every sound endpoint
  // at its address, or under its id.
  void entry_with_a_number_too_large_disturbs_no_sound_endpoint() {
    const std::string sound = fleet_->endpoints()[1]->id();
    CheckSound({Entry("odd", "born", "18446744073709551615"),
                Entry(sound, "born", "18446744073709551615"),
                Entry("odd", "born", "9007199254740993"),
                Entry(sound, "born", "4000000000000"),
                Entry("odd", "born", "1e300"), Entry("odd", "born", "-1"),
                Entry("odd", "sequence", "18446744073709551616"),
                Entry("odd", "slots", "4294967296"),
                Entry("odd", "slots", "4294967295"),
                Entry("odd", "slots", "1e400"),
                Entry("odd", "coldRemainingMs", "18446744073709551615")});
  }

  void entry_with_an_unusable_address_disturbs_no_sound_endpoint() {
    CheckSound({Entry("odd", "address", Quoted("127.0.2.1:0")),
                Entry("odd", "address", Quoted("127.0.2.1:65536")),
                Entry("odd", "address", Quoted("127.0.2.1:-1")),
                Entry("odd", "address", Quoted("127.0.2.1:99999999999999")),
                Entry("odd", "address", Quoted("")),
                Entry("odd", "address", "7")});
  }

  // Guards against texts that fill the links of the control processes, or the
  // logs.
  void entry_with_an_unusable_text_disturbs_no_sound_endpoint() {
    const std::string long_text = Quoted(std::string(kLongText, 'a'));
    CheckSound(
        {Entry("odd", "zone", long_text), Entry("odd", "service", long_text),
         Entry("odd", "version", long_text), Entry("odd", "version", "7"),
         Entry("odd", "version", Quoted("")),
         Entry("odd", "zone", Quoted("a\\nevent=stopped")),
         Entry("odd", "service", Quoted("a\\u0000b")),
         Entry("odd", "service", Quoted("")),
         Entry(std::string(5'000, 'o'), "slots", "32")});
  }

  // Guards against a sound endpoint that is out of use for good, because an
  // entry of another writer names its address.
  void entry_of_an_unnamed_pool_takes_no_address_of_a_named_one() {
    CheckSound({UnnamedPoolAt(fleet_->endpoints()[0]->announced()),
                UnnamedPoolAt(fleet_->endpoints()[1]->announced())});
  }

  void entry_of_an_unnamed_pool_leaves_its_address_to_a_named_one() {
    // The last endpoint has crashed; CheckSound() starts it.
    const odd_entry entry =
        UnnamedPoolAt(fleet_->endpoints().back()->announced());
    RunFor(kSilentTime);
    for (const soak::soak_node* node : fleet_->ControlNodes()) {
      Deliver(*node, entry);
    }
    RunFor(milliseconds(500));
    CheckSound({});
  }

  void entry_that_cannot_be_read_disturbs_no_sound_endpoint() {
    CheckSound({Entry("odd", "zone",
                      Repeated("[", kNesting) + Repeated("]", kNesting)),
                {"odd", Repeated("[", kNesting)},
                {"odd", Repeated("{\"a\":", kNesting)},
                {"odd", "\xff\xfe{"},
                {"odd", "{\"service\":\"svc\""},
                {"odd", "[]"}});
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(odd_entry_test);

}  // namespace marjoramsill
