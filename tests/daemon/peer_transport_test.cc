#include "connection/peer_transport.h"

#include <cppunit/extensions/HelperMacros.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <filesystem>
#include <future>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <utility>

#include "test_certificates.h"

namespace marjoramsill {
namespace {

using namespace std::chrono_literals;
using answer_type = result<std::string, peer_error>;

const socket_address kFirst{"127.0.0.1", 7606};
const socket_address kSecond{"127.0.0.1", 7607};
/// Nothing listens here.
const socket_address kClosed{"127.0.0.1", 7609};

peer_transport_settings Settings(const std::string& vm,
                                 const socket_address& listen,
                                 std::optional<tls_settings> tls = {}) {
  peer_transport_settings settings;
  settings.vm = vm;
  settings.listen = listen;
  settings.tls = std::move(tls);
  return settings;
}

void NoMessages(vm_message, const peer_transport::reply&) {}

answer_type Ask(peer_transport& sender, const socket_address& remote,
                const std::string& body,
                std::chrono::milliseconds timeout = 5s) {
  auto done = std::make_shared<std::promise<answer_type>>();
  auto future = done->get_future();
  sender.Send(
      remote, {"status", body, ""}, timeout,
      [done](answer_type answer) { done->set_value(std::move(answer)); });
  CPPUNIT_ASSERT(future.wait_for(10s) == std::future_status::ready);
  return future.get();
}

bool FailsWith(const answer_type& answer, peer_error error) {
  return !answer && answer.assume_error() == error;
}

}  // namespace

class peer_transport_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(peer_transport_test);
  CPPUNIT_TEST(message_is_answered_with_kind_body_and_sender);
  CPPUNIT_TEST(message_of_one_megabyte_arrives_whole);
  CPPUNIT_TEST(messages_answered_out_of_order_keep_their_answers);
  CPPUNIT_TEST(message_without_answer_times_out);
  CPPUNIT_TEST(message_to_closed_port_is_unreachable);
  CPPUNIT_TEST(message_after_restart_of_the_receiver_arrives);
  CPPUNIT_TEST(tls_vm_of_the_same_authority_is_answered);
  CPPUNIT_TEST(tls_vm_without_the_authoritys_certificate_is_not_heard);
  CPPUNIT_TEST_SUITE_END();

  std::filesystem::path folder_;

 public:
  void setUp() override {
    folder_ = std::filesystem::temp_directory_path() /
              ("marjoramsill_peer_test_" + std::to_string(::getpid()));
    std::filesystem::create_directories(folder_);
  }
  void tearDown() override { std::filesystem::remove_all(folder_); }

  // Guards against a message that reaches the wrong handler or loses its
  // sender, by which raft and heartbeats tell VMs apart.
  void message_is_answered_with_kind_body_and_sender() {
    peer_transport receiver(
        Settings("vm2", kSecond),
        [](const vm_message& message, const peer_transport::reply& answer) {
          answer(message.kind + "|" + message.from + "|" + message.body);
        });
    CPPUNIT_ASSERT(receiver.Listen());
    peer_transport sender(Settings("vm1", kFirst), NoMessages);
    CPPUNIT_ASSERT(sender.Listen());
    const std::string binary("\0\xff\r\n\r\n", 6);
    const auto answer = Ask(sender, kSecond, binary);
    CPPUNIT_ASSERT(answer);
    CPPUNIT_ASSERT(answer.assume_value() == "status|vm1|" + binary);
    const auto empty = Ask(sender, kSecond, "");
    CPPUNIT_ASSERT(empty && empty.assume_value() == "status|vm1|");
  }

  // Guards against flow control that stops a message larger than a window.
  void message_of_one_megabyte_arrives_whole() {
    peer_transport receiver(
        Settings("vm2", kSecond),
        [](const vm_message& message, const peer_transport::reply& answer) {
          answer(message.body + message.body.substr(0, 1));
        });
    CPPUNIT_ASSERT(receiver.Listen());
    peer_transport sender(Settings("vm1", kFirst), NoMessages);
    CPPUNIT_ASSERT(sender.Listen());
    std::string body(1024UL * 1024, '\0');
    for (std::size_t i = 0; i < body.size(); ++i) {
      body[i] = static_cast<char>(i % 251);
    }
    for (int round = 0; round < 3; ++round) {
      const auto answer = Ask(sender, kSecond, body);
      CPPUNIT_ASSERT(answer);
      CPPUNIT_ASSERT(answer.assume_value() == body + body[0]);
    }
  }

  // Guards against an answer that reaches another message's sender.
  void messages_answered_out_of_order_keep_their_answers() {
    peer_transport::reply first_reply;
    peer_transport receiver(
        Settings("vm2", kSecond),
        [&](const vm_message& message, const peer_transport::reply& answer) {
          if (message.body == "first") {
            first_reply = answer;
            return;
          }
          answer("to second");
          first_reply("to first");
        });
    CPPUNIT_ASSERT(receiver.Listen());
    peer_transport sender(Settings("vm1", kFirst), NoMessages);
    CPPUNIT_ASSERT(sender.Listen());
    std::promise<answer_type> first;
    sender.Send(
        kSecond, {"status", "first", ""}, 5s,
        [&first](answer_type answer) { first.set_value(std::move(answer)); });
    const auto second = Ask(sender, kSecond, "second");
    CPPUNIT_ASSERT(second && second.assume_value() == "to second");
    const auto got = first.get_future().get();
    CPPUNIT_ASSERT(got && got.assume_value() == "to first");
  }

  // Guards against a caller that waits for ever for a frozen VM, and against
  // "not delivered" for a message that may have been.
  void message_without_answer_times_out() {
    peer_transport receiver(Settings("vm2", kSecond), NoMessages);
    CPPUNIT_ASSERT(receiver.Listen());
    peer_transport sender(Settings("vm1", kFirst), NoMessages);
    CPPUNIT_ASSERT(sender.Listen());
    CPPUNIT_ASSERT(
        FailsWith(Ask(sender, kSecond, "a", 200ms), peer_error::kTimedOut));
  }

  // Guards against "delivery uncertain" for a message that was never sent.
  void message_to_closed_port_is_unreachable() {
    peer_transport sender(Settings("vm1", kFirst), NoMessages);
    CPPUNIT_ASSERT(sender.Listen());
    for (int i = 0; i < 3; ++i) {
      CPPUNIT_ASSERT(
          FailsWith(Ask(sender, kClosed, "a"), peer_error::kUnreachable));
    }
  }

  // Guards against a channel that stays broken once its VM has restarted.
  void message_after_restart_of_the_receiver_arrives() {
    const auto echo = [](const vm_message& message,
                         const peer_transport::reply& answer) {
      answer(message.body);
    };
    auto receiver =
        std::make_unique<peer_transport>(Settings("vm2", kSecond), echo);
    CPPUNIT_ASSERT(receiver->Listen());
    peer_transport sender(Settings("vm1", kFirst), NoMessages);
    CPPUNIT_ASSERT(sender.Listen());
    CPPUNIT_ASSERT(Ask(sender, kSecond, "a"));
    receiver.reset();
    CPPUNIT_ASSERT(!Ask(sender, kSecond, "b", 500ms));
    receiver = std::make_unique<peer_transport>(Settings("vm2", kSecond), echo);
    CPPUNIT_ASSERT(receiver->Listen());
    // A failed connection is tried again after reconnect_pause.
    bool arrived = false;
    for (int i = 0; i < 20 && !arrived; ++i) {
      arrived = Ask(sender, kSecond, "c", 1s).has_value();
      if (!arrived) std::this_thread::sleep_for(100ms);
    }
    CPPUNIT_ASSERT(arrived);
  }

  // Guards against TLS settings that let no VM through.
  void tls_vm_of_the_same_authority_is_answered() {
    test_authority authority(folder_, "fleet");
    peer_transport receiver(
        Settings("vm2", kSecond, authority.Issue("vm2")),
        [](const vm_message& message, const peer_transport::reply& answer) {
          answer(message.from + message.body);
        });
    CPPUNIT_ASSERT(receiver.Listen());
    peer_transport sender(Settings("vm1", kFirst, authority.Issue("vm1")),
                          NoMessages);
    CPPUNIT_ASSERT(sender.Listen());
    const std::string body(100'000, 'b');
    const auto answer = Ask(sender, kSecond, body);
    CPPUNIT_ASSERT(answer && answer.assume_value() == "vm1" + body);
  }

  // Guards against control messages from a process outside the fleet, and
  // against sending them to one.
  void tls_vm_without_the_authoritys_certificate_is_not_heard() {
    test_authority authority(folder_, "fleet");
    test_authority other(folder_, "other");
    std::atomic<int> heard{0};
    peer_transport receiver(
        Settings("vm2", kSecond, authority.Issue("vm2")),
        [&heard](const vm_message&, const peer_transport::reply& answer) {
          ++heard;
          answer("");
        });
    CPPUNIT_ASSERT(receiver.Listen());
    tls_settings forged = other.Issue("vm1");
    const tls_settings untrusting = forged;
    forged.authority_file = authority.Issue("vm1").authority_file;
    for (const std::optional<tls_settings>& tls :
         {std::optional<tls_settings>(), std::optional<tls_settings>(forged),
          std::optional<tls_settings>(untrusting)}) {
      peer_transport sender(Settings("vm1", kFirst, tls), NoMessages);
      CPPUNIT_ASSERT(sender.Listen());
      CPPUNIT_ASSERT(!Ask(sender, kSecond, "a", 1s));
    }
    CPPUNIT_ASSERT_EQUAL(0, heard.load());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(peer_transport_test);

}  // namespace marjoramsill
