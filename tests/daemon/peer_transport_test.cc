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
#include <vector>

#include "test_certificates.h"

namespace marjoramsill {
namespace {

using namespace std::chrono_literals;
using response_result = result<std::string, peer_error>;

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

void NoMessages(vm_message, const peer_transport::respond_hook&) {}

response_result SendAndWait(peer_transport& sender,
                            const socket_address& remote,
                            const std::string& body,
                            std::chrono::milliseconds timeout = 5s) {
  auto done = std::make_shared<std::promise<response_result>>();
  auto future = done->get_future();
  sender.Send(remote, {"status", body, ""}, timeout,
              [done](response_result response) {
                done->set_value(std::move(response));
              });
  CPPUNIT_ASSERT(future.wait_for(10s) == std::future_status::ready);
  return future.get();
}

bool FailsWith(const response_result& response, peer_error error) {
  return !response && response.assume_error() == error;
}

}  // namespace

class peer_transport_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(peer_transport_test);
  CPPUNIT_TEST(message_arrives_with_kind_body_and_sender);
  CPPUNIT_TEST(message_of_one_megabyte_arrives_complete);
  CPPUNIT_TEST(large_messages_at_once_are_bounded_and_others_arrive);
  CPPUNIT_TEST(messages_with_responses_out_of_order_get_their_own);
  CPPUNIT_TEST(message_without_response_times_out);
  CPPUNIT_TEST(timeout_on_a_working_connection_keeps_other_messages);
  CPPUNIT_TEST(message_to_closed_port_is_unreachable);
  CPPUNIT_TEST(message_after_restart_of_the_receiver_arrives);
  CPPUNIT_TEST(tls_vm_of_the_same_authority_gets_a_response);
  CPPUNIT_TEST(tls_vm_without_the_authoritys_certificate_is_rejected);
  CPPUNIT_TEST_SUITE_END();

  std::filesystem::path folder_;

 public:
  void setUp() override {
    folder_ = std::filesystem::temp_directory_path() /
              ("marjoramsill_peer_test_" + std::to_string(::getpid()));
    std::filesystem::create_directories(folder_);
  }
  void tearDown() override { std::filesystem::remove_all(folder_); }

  // Guards against a message with the wrong kind, body or sender. Raft and
  // heartbeats identify VMs by the sender.
  void message_arrives_with_kind_body_and_sender() {
    peer_transport receiver(
        Settings("vm2", kSecond),
        [](const vm_message& message,
           const peer_transport::respond_hook& respond) {
          respond(message.kind + "|" + message.from + "|" + message.body);
        });
    CPPUNIT_ASSERT(receiver.Listen());
    peer_transport sender(Settings("vm1", kFirst), NoMessages);
    CPPUNIT_ASSERT(sender.Listen());
    const std::string binary("\0\xff\r\n\r\n", 6);
    const auto response = SendAndWait(sender, kSecond, binary);
    CPPUNIT_ASSERT(response);
    CPPUNIT_ASSERT(response.assume_value() == "status|vm1|" + binary);
    const auto empty = SendAndWait(sender, kSecond, "");
    CPPUNIT_ASSERT(empty && empty.assume_value() == "status|vm1|");
  }

  // Guards against flow control that blocks a message larger than the window.
  void message_of_one_megabyte_arrives_complete() {
    peer_transport receiver(Settings("vm2", kSecond),
                            [](const vm_message& message,
                               const peer_transport::respond_hook& respond) {
                              respond(message.body + message.body.substr(0, 1));
                            });
    CPPUNIT_ASSERT(receiver.Listen());
    peer_transport sender(Settings("vm1", kFirst), NoMessages);
    CPPUNIT_ASSERT(sender.Listen());
    std::string body(1024UL * 1024, '\0');
    for (std::size_t i = 0; i < body.size(); ++i) {
      body[i] = static_cast<char>(i % 251);
    }
    for (int round = 0; round < 3; ++round) {
      const auto response = SendAndWait(sender, kSecond, body);
      CPPUNIT_ASSERT(response);
      CPPUNIT_ASSERT(response.assume_value() == body + body[0]);
    }
  }

  // Guards against messages on many streams whose sum exceeds the memory of a
  // VM, and against a limit that ends the messages beside them.
  void large_messages_at_once_are_bounded_and_others_arrive() {
    peer_transport receiver(Settings("vm2", kSecond),
                            [](const vm_message& message,
                               const peer_transport::respond_hook& respond) {
                              respond(std::to_string(message.body.size()));
                            });
    CPPUNIT_ASSERT(receiver.Listen());
    peer_transport sender(Settings("vm1", kFirst), NoMessages);
    CPPUNIT_ASSERT(sender.Listen());
    CPPUNIT_ASSERT(SendAndWait(sender, kSecond, "first"));
    constexpr std::size_t kBytes = 6UL * 1024 * 1024;
    constexpr int kMessages = 8;
    const std::string body(kBytes, 'a');
    std::vector<std::future<response_result>> responses;
    for (int i = 0; i < kMessages; ++i) {
      auto promise = std::make_shared<std::promise<response_result>>();
      responses.push_back(promise->get_future());
      sender.Send(kSecond, {"status", body, ""}, 10s,
                  [promise](response_result response) {
                    promise->set_value(std::move(response));
                  });
    }
    CPPUNIT_ASSERT(SendAndWait(sender, kSecond, "beside"));
    int arrived = 0;
    for (auto& each : responses) {
      const auto response = each.get();
      if (response) ++arrived;
      CPPUNIT_ASSERT(!response ||
                     response.assume_value() == std::to_string(kBytes));
    }
    CPPUNIT_ASSERT(arrived >= 1 && arrived < kMessages);
    CPPUNIT_ASSERT(SendAndWait(sender, kSecond, "after"));
  }

  // Guards against a response that is delivered to the sender of a different
  // message.
  void messages_with_responses_out_of_order_get_their_own() {
    peer_transport::respond_hook respond_first;
    peer_transport receiver(Settings("vm2", kSecond),
                            [&](const vm_message& message,
                                const peer_transport::respond_hook& respond) {
                              if (message.body == "first") {
                                respond_first = respond;
                                return;
                              }
                              respond("to second");
                              respond_first("to first");
                            });
    CPPUNIT_ASSERT(receiver.Listen());
    peer_transport sender(Settings("vm1", kFirst), NoMessages);
    CPPUNIT_ASSERT(sender.Listen());
    std::promise<response_result> first;
    sender.Send(kSecond, {"status", "first", ""}, 5s,
                [&first](response_result response) {
                  first.set_value(std::move(response));
                });
    const auto second = SendAndWait(sender, kSecond, "second");
    CPPUNIT_ASSERT(second && second.assume_value() == "to second");
    const auto got = first.get_future().get();
    CPPUNIT_ASSERT(got && got.assume_value() == "to first");
  }

  // Guards against waiting forever for an unresponsive VM and against "not
  // delivered" for a message that may have been delivered.
  void message_without_response_times_out() {
    peer_transport receiver(Settings("vm2", kSecond), NoMessages);
    CPPUNIT_ASSERT(receiver.Listen());
    peer_transport sender(Settings("vm1", kFirst), NoMessages);
    CPPUNIT_ASSERT(sender.Listen());
    CPPUNIT_ASSERT(FailsWith(SendAndWait(sender, kSecond, "a", 200ms),
                             peer_error::kTimedOut));
  }

  // Guards against "delivery uncertain" for a message that was never sent.
  // Guards against a busy link that is closed because one response is late.
  void timeout_on_a_working_connection_keeps_other_messages() {
    peer_transport receiver(
        Settings("b", kSecond), [](const vm_message& message,
                                   const peer_transport::respond_hook& done) {
          if (message.body == "never") return;
          const auto delay = message.body == "late" ? 600ms : 0ms;
          std::thread([done, delay] {
            std::this_thread::sleep_for(delay);
            done("answer");
          }).detach();
        });
    CPPUNIT_ASSERT(receiver.Listen());
    peer_transport sender(Settings("a", kFirst), NoMessages);
    CPPUNIT_ASSERT(sender.Listen());
    CPPUNIT_ASSERT(SendAndWait(sender, kSecond, "at once"));
    auto late = std::make_shared<std::promise<response_result>>();
    auto late_response = late->get_future();
    sender.Send(kSecond, {"status", "late", ""}, 5s,
                [late](response_result response) {
                  late->set_value(std::move(response));
                });
    auto never = std::make_shared<std::promise<response_result>>();
    auto never_response = never->get_future();
    sender.Send(kSecond, {"status", "never", ""}, 300ms,
                [never](response_result response) {
                  never->set_value(std::move(response));
                });
    CPPUNIT_ASSERT(SendAndWait(sender, kSecond, "at once"));
    CPPUNIT_ASSERT(FailsWith(never_response.get(), peer_error::kTimedOut));
    CPPUNIT_ASSERT(late_response.get());
    sender.Stop();
    receiver.Stop();
  }

  void message_to_closed_port_is_unreachable() {
    peer_transport sender(Settings("vm1", kFirst), NoMessages);
    CPPUNIT_ASSERT(sender.Listen());
    for (int i = 0; i < 3; ++i) {
      CPPUNIT_ASSERT(FailsWith(SendAndWait(sender, kClosed, "a"),
                               peer_error::kUnreachable));
    }
  }

  // Guards against a channel that stays disconnected after its VM has
  // restarted.
  void message_after_restart_of_the_receiver_arrives() {
    const auto echo = [](const vm_message& message,
                         const peer_transport::respond_hook& respond) {
      respond(message.body);
    };
    auto receiver =
        std::make_unique<peer_transport>(Settings("vm2", kSecond), echo);
    CPPUNIT_ASSERT(receiver->Listen());
    peer_transport sender(Settings("vm1", kFirst), NoMessages);
    CPPUNIT_ASSERT(sender.Listen());
    CPPUNIT_ASSERT(SendAndWait(sender, kSecond, "a"));
    receiver.reset();
    CPPUNIT_ASSERT(!SendAndWait(sender, kSecond, "b", 500ms));
    receiver = std::make_unique<peer_transport>(Settings("vm2", kSecond), echo);
    CPPUNIT_ASSERT(receiver->Listen());
    // A failed connection is retried after reconnect_delay.
    bool arrived = false;
    for (int i = 0; i < 20 && !arrived; ++i) {
      arrived = SendAndWait(sender, kSecond, "c", 1s).has_value();
      if (!arrived) std::this_thread::sleep_for(100ms);
    }
    CPPUNIT_ASSERT(arrived);
  }

  // Guards against TLS settings that reject every VM.
  void tls_vm_of_the_same_authority_gets_a_response() {
    test_authority authority(folder_, "fleet");
    peer_transport receiver(Settings("vm2", kSecond, authority.Issue("vm2")),
                            [](const vm_message& message,
                               const peer_transport::respond_hook& respond) {
                              respond(message.from + message.body);
                            });
    CPPUNIT_ASSERT(receiver.Listen());
    peer_transport sender(Settings("vm1", kFirst, authority.Issue("vm1")),
                          NoMessages);
    CPPUNIT_ASSERT(sender.Listen());
    const std::string body(100'000, 'b');
    const auto response = SendAndWait(sender, kSecond, body);
    CPPUNIT_ASSERT(response && response.assume_value() == "vm1" + body);
  }

  // Guards against control messages from a process outside the fleet, and
  // against sending them to one.
  void tls_vm_without_the_authoritys_certificate_is_rejected() {
    test_authority authority(folder_, "fleet");
    test_authority other(folder_, "other");
    std::atomic<int> delivered{0};
    peer_transport receiver(
        Settings("vm2", kSecond, authority.Issue("vm2")),
        [&delivered](const vm_message&,
                     const peer_transport::respond_hook& respond) {
          ++delivered;
          respond("");
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
      CPPUNIT_ASSERT(!SendAndWait(sender, kSecond, "a", 1s));
    }
    CPPUNIT_ASSERT_EQUAL(0, delivered.load());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(peer_transport_test);

}  // namespace marjoramsill
