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
  CPPUNIT_TEST(offer_survives_the_codec);
  CPPUNIT_TEST(document_goes_out_while_the_link_is_free);
  CPPUNIT_TEST(asker_waits_for_a_version_that_is_not_here_yet);
  CPPUNIT_TEST(asker_hears_of_a_wait_in_vain_before_its_timeout);
  CPPUNIT_TEST(source_is_in_the_askers_domain_if_possible);
  CPPUNIT_TEST(document_of_a_new_version_forgets_the_receivers);
  CPPUNIT_TEST(document_large_reaches_a_large_fleet_in_time);
  CPPUNIT_TEST_SUITE_END();

  static constexpr double kControlMbps = 3;
  static constexpr double kEntryMbps = 10;
  static constexpr std::size_t kLargeBytes = 45'000;

  static stored_document Document(std::uint64_t version, std::size_t bytes) {
    return {document_version(version),
            std::make_shared<const std::string>(bytes, 'x')};
  }

  void Ask(document_relay& relay, const std::string& vm,
           const std::string& domain, std::size_t bytes,
           std::uint64_t wanted = 1, std::uint64_t held = 1) {
    relay.Ask(
        vm_id(vm), {document_version(wanted), failure_domain_id(domain)},
        [this, vm](const document_offer& offer) { offers_[vm] = offer; },
        Document(held, bytes), now_);
  }

  std::map<std::string, document_offer> offers_;
  steady_time now_{milliseconds(1'000)};

 public:
  void offer_survives_the_codec() {
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

  void document_goes_out_while_the_link_is_free() {
    document_relay relay(kControlMbps);
    for (int i = 0; i < 5; ++i) Ask(relay, std::to_string(i), "perth", 2'000);
    CPPUNIT_ASSERT_EQUAL(std::size_t{5}, offers_.size());
    for (const auto& [vm, offer] : offers_) {
      CPPUNIT_ASSERT(offer.document.has_value());
    }
  }

  void asker_waits_for_a_version_that_is_not_here_yet() {
    document_relay relay(kControlMbps);
    Ask(relay, "a", "perth", 2'000, 2);
    CPPUNIT_ASSERT(offers_.empty());
    relay.Tick(Document(2, 2'000), now_);
    CPPUNIT_ASSERT(offers_["a"].document->version == document_version(2));
  }

  void asker_hears_of_a_wait_in_vain_before_its_timeout() {
    document_relay relay(kControlMbps);
    Ask(relay, "a", "perth", 2'000, 2);
    now_ += milliseconds(1'300);
    relay.Tick(Document(1, 2'000), now_);
    CPPUNIT_ASSERT(!offers_["a"].document.has_value());
    CPPUNIT_ASSERT(offers_["a"].source.empty());
  }

  void source_is_in_the_askers_domain_if_possible() {
    document_relay relay(kControlMbps);
    Ask(relay, "a", "perth", 40'000);
    now_ += milliseconds(300);
    Ask(relay, "b", "bunbury", 40'000);
    now_ += milliseconds(300);
    Ask(relay, "c", "bunbury", 40'000);
    Ask(relay, "d", "perth", 40'000);
    CPPUNIT_ASSERT(offers_["d"].source == vm_id("a"));
  }

  void document_of_a_new_version_forgets_the_receivers() {
    document_relay relay(kControlMbps);
    Ask(relay, "a", "perth", 40'000);
    now_ += milliseconds(500);
    Ask(relay, "b", "perth", 40'000, 2, 2);
    Ask(relay, "c", "perth", 40'000, 2, 2);
    CPPUNIT_ASSERT(offers_["b"].document.has_value());
    CPPUNIT_ASSERT(!offers_.contains("c"));
  }

  void document_large_reaches_a_large_fleet_in_time() {
    // 90 entry VMs, 5 control processes with 3 Mbit/s each, 45 KB after
    // compression: one control process alone would need 11 s, all five 2.2 s
    // on their whole links. The bound leaves time for the way to them.
    std::map<std::string, std::unique_ptr<document_relay>> relays;
    std::map<std::string, steady_time> arrivals;
    for (int i = 0; i < 5; ++i) {
      relays["c" + std::to_string(i)] =
          std::make_unique<document_relay>(kControlMbps);
    }
    const steady_time start = now_;
    std::size_t had = 0;
    const auto ask = [&](const std::string& vm, const std::string& from,
                         const auto& self) -> void {
      relays.at(from)->Ask(
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
      ask("e" + std::to_string(i), "c" + std::to_string(i % 5), ask);
    }
    while (had < 90) {
      now_ += milliseconds(25);
      CPPUNIT_ASSERT(now_ - start < milliseconds(1'500));
      for (const auto& [vm, relay] : relays) {
        relay->Tick(Held(vm, arrivals), now_);
      }
      had = 0;
      for (const auto& [vm, at] : arrivals) had += at <= now_ ? 1U : 0U;
    }
  }

 private:
  /// What a VM of the fleet holds now; control processes have the document.
  stored_document Held(const std::string& vm,
                       const std::map<std::string, steady_time>& arrivals) {
    const auto found = arrivals.find(vm);
    const bool has =
        vm.front() == 'c' || (found != arrivals.end() && found->second <= now_);
    return has ? Document(1, kLargeBytes) : stored_document();
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(document_relay_test);

}  // namespace marjoramsill
