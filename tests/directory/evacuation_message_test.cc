#include <cppunit/extensions/HelperMacros.h>

#include <string>

#include "process/controller/evacuation_message.h"

namespace marjoramsill {

/// Orders on their way to the leader, and what the leader does with them.
class evacuation_message_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(evacuation_message_test);
  CPPUNIT_TEST(repeated_order_is_acknowledged_without_an_entry);
  CPPUNIT_TEST(order_is_proposed_while_another_one_is_open);
  CPPUNIT_TEST(delayed_order_does_not_take_effect_after_its_withdrawal);
  CPPUNIT_TEST(delayed_withdrawal_does_not_end_a_later_evacuation);
  CPPUNIT_TEST(messages_are_decoded_as_encoded);
  CPPUNIT_TEST(messages_with_a_later_field_are_read);
  CPPUNIT_TEST(unusable_messages_are_refused);
  CPPUNIT_TEST_SUITE_END();

  static forwarded_evacuation Order(bool evacuates, std::uint64_t known) {
    return {{failure_domain_id("d1"), evacuates}, known};
  }

  static evacuation_step Step(const evacuation_set& held,
                              const forwarded_evacuation& order,
                              bool has_open_order = false) {
    return NextEvacuationStep(held, order, has_open_order);
  }

  evacuation_set held_;
  const failure_domain_id domain_{"d1"};

 public:
  void repeated_order_is_acknowledged_without_an_entry() {
    CPPUNIT_ASSERT(Step(held_, Order(false, 0)) ==
                   evacuation_step::kAcknowledge);
    CPPUNIT_ASSERT(Step(held_, Order(true, 0)) == evacuation_step::kPropose);
    held_.Set(domain_, true);
    CPPUNIT_ASSERT(Step(held_, Order(true, 0)) ==
                   evacuation_step::kAcknowledge);
  }

  // Guards against a withdrawal that is acknowledged before the commit of the
  // repeated order that it follows.
  void order_is_proposed_while_another_one_is_open() {
    CPPUNIT_ASSERT(Step(held_, Order(false, 0), true) ==
                   evacuation_step::kPropose);
  }

  // Guards against a domain that stays evacuated for ever: the caller repeated
  // its order at another process and has withdrawn it meanwhile.
  void delayed_order_does_not_take_effect_after_its_withdrawal() {
    const forwarded_evacuation delayed = Order(true, held_.change);
    held_.Set(domain_, true);
    held_.Set(domain_, false);
    CPPUNIT_ASSERT(Step(held_, delayed) == evacuation_step::kReturn);
    CPPUNIT_ASSERT(Step(held_, Order(true, held_.change)) ==
                   evacuation_step::kPropose);
  }

  void delayed_withdrawal_does_not_end_a_later_evacuation() {
    held_.Set(domain_, true);
    const forwarded_evacuation delayed = Order(false, held_.change);
    held_.Set(domain_, false);
    held_.Set(domain_, true);
    CPPUNIT_ASSERT(Step(held_, delayed) == evacuation_step::kReturn);
  }

  void messages_are_decoded_as_encoded() {
    const auto order =
        DecodeForwardedEvacuation(EncodeForwardedEvacuation(Order(true, 300)));
    CPPUNIT_ASSERT(order && order->order.domain == domain_);
    CPPUNIT_ASSERT(order->order.evacuates && order->known_change == 300);
    using kind = evacuation_response::kind;
    for (const kind outcome :
         {kind::kUnknown, kind::kAcknowledged, kind::kFull, kind::kBehind}) {
      const auto response =
          DecodeEvacuationResponse(EncodeEvacuationResponse({outcome, 7}));
      CPPUNIT_ASSERT(response.outcome == outcome && response.change == 7);
    }
  }

  // Guards against control processes of a later build that cannot forward an
  // order to this one.
  void messages_with_a_later_field_are_read() {
    std::string order = EncodeForwardedEvacuation(Order(true, 3));
    order[0] = static_cast<char>(order[0] + 1);
    const auto read = DecodeForwardedEvacuation(order + '\x05');
    CPPUNIT_ASSERT(read && read->known_change == 3);
    std::string response =
        EncodeEvacuationResponse({evacuation_response::kind::kAcknowledged, 7});
    response[0] = static_cast<char>(response[0] + 1);
    CPPUNIT_ASSERT(DecodeEvacuationResponse(response + '\x05').outcome ==
                   evacuation_response::kind::kAcknowledged);
  }

  void unusable_messages_are_refused() {
    CPPUNIT_ASSERT(!DecodeForwardedEvacuation(""));
    CPPUNIT_ASSERT(!DecodeForwardedEvacuation("acknowledged"));
    forwarded_evacuation nameless = Order(true, 3);
    nameless.order.domain = failure_domain_id("");
    CPPUNIT_ASSERT(
        !DecodeForwardedEvacuation(EncodeForwardedEvacuation(nameless)));
    // A process of an earlier build answers an unknown kind with nothing.
    for (const std::string& bytes : {std::string(), std::string("\x92\x09\x01"),
                                     std::string("acknowledged")}) {
      CPPUNIT_ASSERT(DecodeEvacuationResponse(bytes).outcome ==
                     evacuation_response::kind::kUnknown);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(evacuation_message_test);

}  // namespace marjoramsill
