#include "process/directory/watch_codec.h"

#include <cppunit/extensions/HelperMacros.h>

#include <optional>
#include <random>
#include <string>
#include <vector>

namespace marjoramsill {

using std::chrono::milliseconds;

class watch_codec_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(watch_codec_test);
  CPPUNIT_TEST(request_is_decoded_as_encoded);
  CPPUNIT_TEST(response_is_decoded_as_encoded);
  CPPUNIT_TEST(damaged_bytes_do_not_crash_the_decoder);
  CPPUNIT_TEST(request_of_build_de27380_is_read);
  CPPUNIT_TEST(request_of_build_430f63c_is_read);
  CPPUNIT_TEST(response_of_earlier_builds_is_read);
  CPPUNIT_TEST(messages_only_grow_at_the_end);
  CPPUNIT_TEST(request_with_a_later_field_is_read);
  CPPUNIT_TEST(request_for_an_unknown_transfer_gets_all_records);
  CPPUNIT_TEST(record_of_an_unknown_phase_does_not_keep_back_the_others);
  CPPUNIT_TEST_SUITE_END();

  static watch_response Response() {
    watch_response response;
    response.epoch = 7;
    response.last_change = 12;
    response.document = document_version(40);
    response.members = {vm_id("10.0.0.1:7340"), vm_id("10.0.0.2:7340")};
    response.position.entry_count = 6;
    response.faults = {{content_digest(5), 2, {endpoint_run_digest(8)}}};
    response.last_fault = 31;
    response.progress = {5, {{pool_digest(3), 21}}};
    response.former_software = {
        {pool_digest(3), software_digest(17), milliseconds(900)}};
    response.loads = {{endpoint_digest(77), {3, 1, 16}, milliseconds(120)}};
    endpoint_record record;
    record.id = endpoint_id("e");
    record.pool = model_id("chat");
    record.address = "10.0.0.9:8080";
    record.domain = failure_domain_id("perth");
    record.slots = 128;
    record.phase = endpoint_phase::kLeaving;
    record.incarnation = incarnation_number(1'700'000'000'000);
    record.sequence = 99;
    record.cold_ms = 250;
    response.records = {record};
    return response;
  }

  /// Encoded by build de27380, whose requests end with the content faults.
  static constexpr const char* kRequestWithoutRelay =
      "9cad31302e302e302e333a37333430c3050608c391960902001028cd1194070391920b0c"
      "1e919306019109";
  /// Encoded by build 430f63c, which appended three fields of the relay.
  static constexpr const char* kRequestWithRelay =
      "9fad31302e302e302e333a37333430c3050608c391960902001028cd1194070391920b0c"
      "1e919306019109cd1cadceee6b2800c3";
  /// Encoded alike by both builds.
  static constexpr const char* kResponse =
      "9d070c919aa165a463686174ad31302e302e302e393a38303830a57065727468cc8002cf"
      "0000018bcfe5680063ccfaa276312891ad31302e302e302e313a373334300691964d0301"
      "1078ff0c0fcd03849193050291081f02";

  /// Fields of these messages as this build encodes them. Load reports, lists
  /// of six elements before, have three more: the limit of refusals is
  /// unknown, no duration of work is stated, and none was measured.
  static constexpr const char* kRequestFields =
      "ad31302e302e302e333a37333430c3050608c391990902001028cd119400000007039192"
      "0b"
      "0c1e919306019109cd1cadceee6b2800c3";
  static constexpr const char* kResponseFields =
      "070c919aa165a463686174ad31302e302e302e393a38303830a57065727468cc8002cf"
      "0000018bcfe5680063ccfaa276312891ad31302e302e302e313a373334300691994d0301"
      "1078ff0000000c0fcd03849193050291081f02";

  static std::string Bytes(const std::string& hex) {
    constexpr int kBase = 16;
    std::string bytes;
    for (std::size_t i = 0; i + 1 < hex.size(); i += 2) {
      bytes += static_cast<char>(std::stoi(hex.substr(i, 2), nullptr, kBase));
    }
    return bytes;
  }

  /// Headers of arrays with the number of fields that this build writes.
  const std::string kRequestHeader = Bytes("dc0014");
  const std::string kResponseHeader = Bytes("dc0012");

  static void CheckEarlierRequest(const watch_request& request) {
    CPPUNIT_ASSERT(request.watcher == vm_id("10.0.0.3:7340"));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, request.epoch);
    CPPUNIT_ASSERT(request.loads.size() == 1 && request.loads[0].limit);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(4.5, *request.loads[0].limit, 0.001);
    CPPUNIT_ASSERT(request.faults ==
                   std::vector<content_fault>(
                       {{content_digest(6), 1, {endpoint_run_digest(9)}}}));
  }

 public:
  // The next four guard against VMs of two builds that do not read each other
  // while they are replaced one after the other.
  void request_of_build_de27380_is_read() {
    const auto request = DecodeWatchRequest(Bytes(kRequestWithoutRelay));
    CPPUNIT_ASSERT(request.has_value());
    CheckEarlierRequest(*request);
    CPPUNIT_ASSERT(!request->relay.has_links);
    CPPUNIT_ASSERT_EQUAL(0, static_cast<int>(request->relay.port));
  }

  void request_of_build_430f63c_is_read() {
    const auto request = DecodeWatchRequest(Bytes(kRequestWithRelay));
    CPPUNIT_ASSERT(request.has_value());
    CheckEarlierRequest(*request);
    CPPUNIT_ASSERT(request->relay.has_links);
    CPPUNIT_ASSERT(!request->progress);
    CPPUNIT_ASSERT(!request->applied_evacuations);
    CPPUNIT_ASSERT_EQUAL(
        kRequestHeader + Bytes(kRequestFields) + Bytes("c290009000"),
        EncodeWatchRequest(*request));
  }

  void response_of_earlier_builds_is_read() {
    const auto response = DecodeWatchResponse(Bytes(kResponse));
    CPPUNIT_ASSERT(response.has_value());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, response->records.size());
    CPPUNIT_ASSERT_EQUAL(std::string("v1"), response->records[0].software);
    CPPUNIT_ASSERT_EQUAL(2U, response->position.entry_index);
    CPPUNIT_ASSERT_EQUAL(0U, response->progress.entry_count);
    CPPUNIT_ASSERT(!response->evacuations);
    CPPUNIT_ASSERT_EQUAL(
        kResponseHeader + Bytes(kResponseFields) + Bytes("0090900090"),
        EncodeWatchResponse(*response));
  }

  void messages_only_grow_at_the_end() {
    auto request = DecodeWatchRequest(Bytes(kRequestWithRelay));
    CPPUNIT_ASSERT(request.has_value());
    request->progress = {{{pool_digest(3), 21}}};
    CPPUNIT_ASSERT_EQUAL(
        kRequestHeader + Bytes(kRequestFields) + Bytes("c391920315009000"),
        EncodeWatchRequest(*request));
    auto response = DecodeWatchResponse(Bytes(kResponse));
    CPPUNIT_ASSERT(response.has_value());
    response->progress = {5, {{pool_digest(3), 21}}};
    CPPUNIT_ASSERT_EQUAL(
        kResponseHeader + Bytes(kResponseFields) + Bytes("0591920315900090"),
        EncodeWatchResponse(*response));
  }

  // Guards against a watcher that stops following because of one record.
  void record_of_an_unknown_phase_does_not_keep_back_the_others() {
    watch_response response = Response();
    response.records.push_back(response.records.front());
    response.records.front().phase = static_cast<endpoint_phase>(9);
    const auto decoded = DecodeWatchResponse(EncodeWatchResponse(response));
    CPPUNIT_ASSERT(decoded.has_value());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, decoded->records.size());
    CPPUNIT_ASSERT(decoded->records.front() == response.records.back());
  }

  void request_with_a_later_field_is_read() {
    // One field more than the 20 that this build knows.
    const std::string later = Bytes("dc0015") +
                              Bytes(kRequestWithRelay).substr(1) +
                              Bytes("c29004910c092a");
    const auto request = DecodeWatchRequest(later);
    CPPUNIT_ASSERT(request.has_value());
    CheckEarlierRequest(*request);
    CPPUNIT_ASSERT(request->transfer == record_transfer::kDifferences);
    CPPUNIT_ASSERT(request->known_digests == std::vector<std::uint64_t>({12}));
    CPPUNIT_ASSERT(request->applied_evacuations == 8U);
  }

  // Guards against a watcher of a later build that gets no records.
  void request_for_an_unknown_transfer_gets_all_records() {
    const std::string later = Bytes("dc0013") +
                              Bytes(kRequestWithRelay).substr(1) +
                              Bytes("c2900990");
    const auto request = DecodeWatchRequest(later);
    CPPUNIT_ASSERT(request.has_value());
    CPPUNIT_ASSERT(request->transfer == record_transfer::kAll);
  }

  void request_is_decoded_as_encoded() {
    watch_request request;
    request.watcher = vm_id("10.0.0.3:7340");
    request.is_entry = true;
    request.epoch = 5;
    request.applied_change = 6;
    request.document = document_version(8);
    request.requests_loads = true;
    request.loads = {
        {endpoint_digest(9), {2, 0, 16, 250}, milliseconds(40)},
        {endpoint_digest(10), {}, milliseconds(0), 4.5, kUnlimitedRefusals},
        {endpoint_digest(11), {}, milliseconds(0), std::nullopt, 0},
        {endpoint_digest(12),
         {},
         milliseconds(0),
         std::nullopt,
         12,
         duration_sample{-37, 9, 65'535}}};
    request.applied_fault = 30;
    request.faults = {{content_digest(6), 0, {endpoint_run_digest(9)}}};
    request.relay = {7'341, 4'000'000'000, true};
    request.progress = {{{pool_digest(4'000'000'000), 12}}};
    request.transfer = record_transfer::kDifferences;
    request.known_digests = {1, ~std::uint64_t{0}};
    const auto decoded = DecodeWatchRequest(EncodeWatchRequest(request));
    CPPUNIT_ASSERT(decoded.has_value());
    CPPUNIT_ASSERT(decoded->watcher == request.watcher);
    CPPUNIT_ASSERT(decoded->is_entry);
    CPPUNIT_ASSERT_EQUAL(request.epoch, decoded->epoch);
    CPPUNIT_ASSERT_EQUAL(request.applied_change, decoded->applied_change);
    CPPUNIT_ASSERT(decoded->document == request.document);
    CPPUNIT_ASSERT(decoded->requests_loads);
    CPPUNIT_ASSERT(decoded->loads == request.loads);
    CPPUNIT_ASSERT_EQUAL(request.applied_fault, decoded->applied_fault);
    CPPUNIT_ASSERT(decoded->faults == request.faults);
    CPPUNIT_ASSERT(decoded->relay == request.relay);
    CPPUNIT_ASSERT(decoded->progress == request.progress);
    CPPUNIT_ASSERT(decoded->transfer == request.transfer);
    CPPUNIT_ASSERT(decoded->known_digests == request.known_digests);
    const auto sent_apart =
        DecodeContentFaults(EncodeContentFaults(request.faults));
    CPPUNIT_ASSERT(sent_apart == request.faults);
  }

  void response_is_decoded_as_encoded() {
    const watch_response response = Response();
    const auto decoded = DecodeWatchResponse(EncodeWatchResponse(response));
    CPPUNIT_ASSERT(decoded.has_value());
    CPPUNIT_ASSERT(decoded->records == response.records);
    CPPUNIT_ASSERT(decoded->members == response.members);
    CPPUNIT_ASSERT(decoded->document == response.document);
    CPPUNIT_ASSERT_EQUAL(response.last_change, decoded->last_change);
    CPPUNIT_ASSERT_EQUAL(response.position.entry_count,
                         decoded->position.entry_count);
    CPPUNIT_ASSERT(decoded->loads == response.loads);
    CPPUNIT_ASSERT(decoded->former_software == response.former_software);
    CPPUNIT_ASSERT(decoded->faults == Response().faults);
    CPPUNIT_ASSERT_EQUAL(Response().last_fault, decoded->last_fault);
    CPPUNIT_ASSERT(decoded->progress == response.progress);
  }

  void damaged_bytes_do_not_crash_the_decoder() {
    const std::string valid = EncodeWatchResponse(Response());
    std::mt19937 random(20261203);
    for (int i = 0; i < 20'000; ++i) {
      std::string bytes = valid;
      bytes[random() % bytes.size()] = static_cast<char>(random());
      bytes.resize(random() % (bytes.size() + 1));
      DecodeWatchResponse(bytes);
      DecodeWatchRequest(bytes);
    }
    CPPUNIT_ASSERT(!DecodeWatchResponse("").has_value());
    CPPUNIT_ASSERT(!DecodeWatchResponse(valid.substr(0, 9)).has_value());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(watch_codec_test);

}  // namespace marjoramsill
