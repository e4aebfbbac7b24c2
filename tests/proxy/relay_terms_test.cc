#include "request/relay_terms.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace marjoramsill {

class relay_terms_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(relay_terms_test);
  CPPUNIT_TEST(encoded_terms_are_taken_unchanged);
  CPPUNIT_TEST(first_field_counts_and_that_of_the_caller_stays);
  CPPUNIT_TEST(malformed_terms_are_refused);
  CPPUNIT_TEST(attempts_of_a_returned_request_are_decoded_as_encoded);
  CPPUNIT_TEST(other_answers_name_no_attempts);
  CPPUNIT_TEST_SUITE_END();

 public:
  void encoded_terms_are_taken_unchanged() {
    for (const relay_terms& terms :
         {relay_terms{document_version(7), 0, {}},
          relay_terms{document_version(123'456), 2, software_digest(99)}}) {
      http_field_list fields{{kRelayField, EncodeRelayTerms(terms)}};
      CPPUNIT_ASSERT(TakeRelayTerms(fields) == terms);
      CPPUNIT_ASSERT(fields.empty());
    }
  }

  void first_field_counts_and_that_of_the_caller_stays() {
    http_field_list fields{{"Host", "a.example"},
                           {"marjoramsill-relay", "7,1,-"},
                           {"Marjoramsill-Relay", "caller"}};
    const auto terms = TakeRelayTerms(fields);
    CPPUNIT_ASSERT(terms == (relay_terms{document_version(7), 1, {}}));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fields.size());
    CPPUNIT_ASSERT_EQUAL(std::string("caller"), fields[1].value);
  }

  void malformed_terms_are_refused() {
    for (const char* text :
         {"", "7", "7,1", "7,1,-,", "a,1,-", "7,-1,-", "7,1001,-", "7,1,x",
          "7,1,", ",,", "99999999999999999999,1,-"}) {
      http_field_list fields{{kRelayField, text}};
      CPPUNIT_ASSERT_MESSAGE(text, !TakeRelayTerms(fields));
    }
    http_field_list none;
    CPPUNIT_ASSERT(!TakeRelayTerms(none));
  }

  void attempts_of_a_returned_request_are_decoded_as_encoded() {
    for (const int attempts : {0, 1, 1'000}) {
      CPPUNIT_ASSERT(DecodeRelayAttempts(EncodeRelayAttempts(attempts)) ==
                     attempts);
    }
  }

  void other_answers_name_no_attempts() {
    for (const char* text : {kRelayUnavailable, kRelayFull, "", "sent", "sent,",
                             "sent,-1", "sent,1001", "sent,1x"}) {
      CPPUNIT_ASSERT_MESSAGE(text, !DecodeRelayAttempts(text));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(relay_terms_test);

}  // namespace marjoramsill
