#include "process/controller/document_relay.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace marjoramsill {

using std::chrono::milliseconds;

class document_relay_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(document_relay_test);
  CPPUNIT_TEST(offer_is_decoded_as_encoded);
  CPPUNIT_TEST(request_is_decoded_as_encoded);
  CPPUNIT_TEST(silent_source_is_not_offered_again);
  CPPUNIT_TEST(requester_with_silent_sources_gets_the_document_next);
  CPPUNIT_TEST(document_is_sent_while_the_link_is_idle);
  CPPUNIT_TEST(request_for_a_later_version_waits_for_it);
  CPPUNIT_TEST(request_that_waits_too_long_gets_an_empty_response);
  CPPUNIT_TEST(source_is_in_the_domain_of_the_requester_if_possible);
  CPPUNIT_TEST(receivers_of_an_earlier_version_are_not_offered_as_sources);
  CPPUNIT_TEST(restarted_receiver_is_not_offered_as_a_source);
  CPPUNIT_TEST(receiver_of_long_ago_is_not_offered_as_a_source);
  CPPUNIT_TEST(large_document_reaches_a_large_fleet_in_time);
  CPPUNIT_TEST_SUITE_END();

  static constexpr double kControlMbps = 3;
  static constexpr double kEntryMbps = 10;
  static constexpr std::size_t kLargeBytes = 45'000;

  static stored_document Document(std::uint64_t version, std::size_t bytes) {
    return {document_version(version),
            std::make_shared<const std::string>(bytes, 'x')};
  }

  void Request(document_relay& relay, const std::string& vm,
               const std::string& domain, std::size_t bytes,
               std::uint64_t required = 1, std::uint64_t held = 1) {
    relay.Request(
        vm_id(vm), {document_version(required), failure_domain_id(domain)},
        [this, vm](const document_offer& offer) { offers_[vm] = offer; },
        Document(held, bytes), now_);
  }

  void RequestAfterSilence(document_relay& relay, const std::string& vm,
                           const std::vector<vm_id>& silent) {
    relay.Request(
        vm_id(vm), {document_version(1), failure_domain_id("perth"), silent},
        [this, vm](const document_offer& offer) { offers_[vm] = offer; },
        Document(1, kLargeBytes), now_);
  }

  std::map<std::string, document_offer> offers_;
  steady_time now_{milliseconds(1'000)};

 public:
  void offer_is_decoded_as_encoded() {
    document_offer offer;
    offer.document = Document(7, 30);
    const auto decoded = DecodeDocumentOffer(EncodeDocumentOffer(offer));
    CPPUNIT_ASSERT(decoded->document->version == document_version(7));
    CPPUNIT_ASSERT_EQUAL(std::size_t{30}, decoded->document->packed->size());
    document_offer other;
    other.source = vm_id("10.0.0.1:7340");
    CPPUNIT_ASSERT(DecodeDocumentOffer(EncodeDocumentOffer(other))->source ==
                   other.source);
    CPPUNIT_ASSERT(!DecodeDocumentOffer("").has_value());
    CPPUNIT_ASSERT(!DecodeDocumentOffer("d12").has_value());
  }

  void request_is_decoded_as_encoded() {
    for (const auto& silent : std::vector<std::vector<vm_id>>{
             {}, {vm_id("10.0.0.1:1")}, {vm_id("a"), vm_id("b")}}) {
      const document_request request{document_version(12),
                                     failure_domain_id("perth"), silent};
      const auto decoded =
          DecodeDocumentRequest(EncodeDocumentRequest(request));
      CPPUNIT_ASSERT(decoded.has_value());
      CPPUNIT_ASSERT(decoded->version == request.version);
      CPPUNIT_ASSERT(decoded->domain == request.domain);
      CPPUNIT_ASSERT(decoded->silent_sources == silent);
    }
    CPPUNIT_ASSERT(!DecodeDocumentRequest("12"));
  }

  // Guards against other VMs that are referred to a source after one has found
  // that it does not answer.
  void silent_source_is_not_offered_again() {
    document_relay relay(kControlMbps);
    Request(relay, "a", "perth", kLargeBytes);
    now_ += milliseconds(500);
    Request(relay, "b", "perth", kLargeBytes);
    Request(relay, "c", "perth", kLargeBytes);
    CPPUNIT_ASSERT(offers_["c"].source == vm_id("a"));
    offers_.clear();
    RequestAfterSilence(relay, "c", {vm_id("a")});
    Request(relay, "d", "perth", kLargeBytes);
    CPPUNIT_ASSERT(!offers_.contains("c"));
    CPPUNIT_ASSERT(!offers_.contains("d"));
  }

  void requester_with_silent_sources_gets_the_document_next() {
    document_relay relay(kControlMbps);
    Request(relay, "a", "perth", kLargeBytes);
    Request(relay, "b", "perth", kLargeBytes);
    RequestAfterSilence(relay, "c", {vm_id("x"), vm_id("y")});
    CPPUNIT_ASSERT(!offers_.contains("b"));
    now_ += milliseconds(190);
    relay.Tick(Document(1, kLargeBytes), now_);
    CPPUNIT_ASSERT(offers_["c"].document.has_value());
    CPPUNIT_ASSERT(!offers_.contains("b"));
  }

  void document_is_sent_while_the_link_is_idle() {
    document_relay relay(kControlMbps);
    for (int i = 0; i < 5; ++i)
      Request(relay, std::to_string(i), "perth", 2'000);
    CPPUNIT_ASSERT_EQUAL(std::size_t{5}, offers_.size());
    for (const auto& [vm, offer] : offers_) {
      CPPUNIT_ASSERT(offer.document.has_value());
    }
  }

  void request_for_a_later_version_waits_for_it() {
    document_relay relay(kControlMbps);
    Request(relay, "a", "perth", 2'000, 2);
    CPPUNIT_ASSERT(offers_.empty());
    relay.Tick(Document(2, 2'000), now_);
    CPPUNIT_ASSERT(offers_["a"].document->version == document_version(2));
  }

  // Guards against VMs that restart together and are referred to each other,
  // though none of them has the document.
  void restarted_receiver_is_not_offered_as_a_source() {
    document_relay relay(kControlMbps);
    Request(relay, "a", "perth", kLargeBytes);
    now_ += milliseconds(1'000);
    Request(relay, "b", "perth", kLargeBytes);
    Request(relay, "a", "perth", kLargeBytes);
    Request(relay, "c", "perth", kLargeBytes);
    CPPUNIT_ASSERT(!offers_.contains("c"));
  }

  void receiver_of_long_ago_is_not_offered_as_a_source() {
    document_relay relay(kControlMbps);
    Request(relay, "a", "perth", kLargeBytes);
    now_ += milliseconds(10'000);
    Request(relay, "b", "perth", kLargeBytes);
    Request(relay, "c", "perth", kLargeBytes);
    CPPUNIT_ASSERT(!offers_.contains("c"));
  }

  void request_that_waits_too_long_gets_an_empty_response() {
    document_relay relay(kControlMbps);
    Request(relay, "a", "perth", 2'000, 2);
    now_ += milliseconds(1'300);
    relay.Tick(Document(1, 2'000), now_);
    CPPUNIT_ASSERT(!offers_["a"].document.has_value());
    CPPUNIT_ASSERT(offers_["a"].source.empty());
  }

  void source_is_in_the_domain_of_the_requester_if_possible() {
    document_relay relay(kControlMbps);
    Request(relay, "a", "perth", 40'000);
    now_ += milliseconds(300);
    Request(relay, "b", "bunbury", 40'000);
    now_ += milliseconds(300);
    Request(relay, "c", "bunbury", 40'000);
    Request(relay, "d", "perth", 40'000);
    CPPUNIT_ASSERT(offers_["d"].source == vm_id("a"));
  }

  void receivers_of_an_earlier_version_are_not_offered_as_sources() {
    document_relay relay(kControlMbps);
    Request(relay, "a", "perth", 40'000);
    now_ += milliseconds(500);
    Request(relay, "b", "perth", 40'000, 2, 2);
    Request(relay, "c", "perth", 40'000, 2, 2);
    CPPUNIT_ASSERT(offers_["b"].document.has_value());
    CPPUNIT_ASSERT(!offers_.contains("c"));
  }

  void large_document_reaches_a_large_fleet_in_time() {
    // 90 entry VMs fetch 45 KB (compressed) from 5 control processes with 3
    // Mbit/s each. One control process alone would need 11 s, and all five
    // 2.2 s if they used their full bandwidth, so the entry VMs have to relay
    // the document. The bound leaves time for the document to reach the
    // control processes.
    std::map<std::string, std::unique_ptr<document_relay>> relays;
    std::map<std::string, steady_time> arrivals;
    for (int i = 0; i < 5; ++i) {
      relays["c" + std::to_string(i)] =
          std::make_unique<document_relay>(kControlMbps);
    }
    const steady_time start = now_;
    std::size_t received = 0;
    const auto request = [&](const std::string& vm, const std::string& from,
                             const auto& self) -> void {
      relays.at(from)->Request(
          vm_id(vm), {document_version(1), failure_domain_id("d")},
          [&, vm, from, self](const document_offer& offer) {
            if (!offer.source.empty())
              return self(vm, offer.source.value(), self);
            const double mbps = from.front() == 'c' ? kControlMbps : kEntryMbps;
            arrivals[vm] =
                now_ +
                milliseconds(static_cast<int>(kLargeBytes * 8 / mbps / 1'000));
          },
          Held(from, arrivals), now_);
    };
    for (int i = 0; i < 90; ++i) {
      relays["e" + std::to_string(i)] =
          std::make_unique<document_relay>(kEntryMbps);
    }
    for (int i = 0; i < 90; ++i) {
      request("e" + std::to_string(i), "c" + std::to_string(i % 5), request);
    }
    while (received < 90) {
      now_ += milliseconds(25);
      CPPUNIT_ASSERT(now_ - start < milliseconds(1'500));
      for (const auto& [vm, relay] : relays) {
        relay->Tick(Held(vm, arrivals), now_);
      }
      received = 0;
      for (const auto& [vm, at] : arrivals) received += at <= now_ ? 1U : 0U;
    }
  }

 private:
  /// The document that a VM has now. Control processes have it from the start.
  stored_document Held(const std::string& vm,
                       const std::map<std::string, steady_time>& arrivals) {
    const auto found = arrivals.find(vm);
    const bool has_document =
        vm.front() == 'c' || (found != arrivals.end() && found->second <= now_);
    return has_document ? Document(1, kLargeBytes) : stored_document();
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(document_relay_test);

}  // namespace marjoramsill
