#include <cppunit/extensions/HelperMacros.h>

#include <msgpack.hpp>

#include "process/claims/claim_bounds.h"
#include "process/claims/claim_table.h"
#include "process/claims/claim_time.h"
#include "process/claims/content_hash.h"
#include "request/schedule_check.h"

namespace marjoramsill {
namespace {

using fault = claim_decode_fault;

claim_command FinishCommand() {
  claim_command command;
  command.kind = claim_command_kind::kFinish;
  command.time = claim_time(77);
  command.key = {workspace_id("rink"), idempotency_key("book-1")};
  command.owner = {vm_id("vm-a"), incarnation_number(3), 4};
  command.request_hash = {5, 6};
  command.deadline_in = std::chrono::milliseconds(8);
  command.response.status = 200;
  command.response.headers = {{"etag", "x"}};
  command.response.body = "booked";
  command.response.body_size = 6;
  command.response.body_hash = HashContent("booked");
  return command;
}

fault FaultOf(const std::string& bytes) {
  const auto decoded = DecodeClaimCommand(bytes);
  CPPUNIT_ASSERT(!decoded.has_value());
  return decoded.error().fault;
}

// Replaces or inserts bytes, or truncates, at generated positions.
std::string Damage(std::string bytes, const schedule& steps) {
  for (std::size_t i = 0; i + 1 < steps.size() && !bytes.empty(); i += 2) {
    const std::size_t at = steps[i] % bytes.size();
    const char value = static_cast<char>(steps[i + 1] >> 2U);
    if (steps[i + 1] % 4 == 0) {
      bytes.resize(at);
    } else if (steps[i + 1] % 4 == 1) {
      bytes.insert(at, 1, value);
    } else {
      bytes[at] = value;
    }
  }
  return bytes;
}

}  // namespace

class claim_codec_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(claim_codec_test);
  CPPUNIT_TEST(command_encoded_decodes_back);
  CPPUNIT_TEST(response_encoded_decodes_back);
  CPPUNIT_TEST(command_with_newer_fields_is_accepted);
  CPPUNIT_TEST(command_outside_bounds_has_typed_error);
  CPPUNIT_TEST(damaged_bytes_never_change_a_table_partially);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against fields that are lost on the way.
  void command_encoded_decodes_back() {
    const claim_command command = FinishCommand();
    const auto decoded = DecodeClaimCommand(EncodeClaimCommand(command));
    CPPUNIT_ASSERT(decoded.has_value());
    CPPUNIT_ASSERT(decoded.value() == command);
  }

  // Guards against fields that are lost on the way.
  void response_encoded_decodes_back() {
    claim_response message;
    message.kind = claim_command_kind::kClaim;
    message.incarnation = incarnation_number(3);
    message.serial = 9;
    message.outcome = claim_outcome::kFinished;
    message.response = FinishCommand().response;
    const auto decoded = DecodeClaimResponse(EncodeClaimResponse(message));
    CPPUNIT_ASSERT(decoded.has_value());
    CPPUNIT_ASSERT(decoded.value() == message);
  }

  // Guards against an upgrade during which two versions cannot communicate.
  void command_with_newer_fields_is_accepted() {
    std::string bytes = EncodeClaimCommand(FinishCommand());
    ++bytes[0];  // One more element in the outer array.
    bytes += '\x07';
    CPPUNIT_ASSERT(DecodeClaimCommand(bytes).value() == FinishCommand());
  }

  // Guards against oversized or inconsistent state from a faulty peer.
  void command_outside_bounds_has_typed_error() {
    CPPUNIT_ASSERT(FaultOf("") == fault::kMalformed);
    CPPUNIT_ASSERT(FaultOf("\x05") == fault::kWrongType);
    CPPUNIT_ASSERT(FaultOf("\x91\x01") == fault::kMissingField);
    CPPUNIT_ASSERT(FaultOf("\x91\x63") == fault::kOutOfRange);
    CPPUNIT_ASSERT(FaultOf("\xdd\xff\xff\xff\xff") == fault::kMalformed);
    const std::string good = EncodeClaimCommand(FinishCommand());
    CPPUNIT_ASSERT(FaultOf(good + "x") == fault::kTrailingBytes);
    claim_command command = FinishCommand();
    command.key.key = idempotency_key(std::string(256, 'k'));
    CPPUNIT_ASSERT(FaultOf(EncodeClaimCommand(command)) == fault::kOutOfRange);
    command = FinishCommand();
    command.response.body = "BOOKED";  // The hash does not match any more.
    CPPUNIT_ASSERT(FaultOf(EncodeClaimCommand(command)) == fault::kOutOfRange);
    command = FinishCommand();
    command.response.body.assign(kMaxStoredBodyBytes + 1, 'b');
    CPPUNIT_ASSERT(FaultOf(EncodeClaimCommand(command)) == fault::kMalformed);
  }

  // Guards against crashes on damaged bytes and against a partially restored
  // table.
  void damaged_bytes_never_change_a_table_partially() {
    claim_table source;
    claim_command claim = FinishCommand();
    claim.kind = claim_command_kind::kClaim;
    source.Apply(claim);
    source.Apply(FinishCommand());
    const std::string snapshot = source.Snapshot();
    const std::string command = EncodeClaimCommand(FinishCommand());
    CheckProperty("damaged claim bytes", 5000, [&] {
      const schedule steps = *ScheduleOf(*rc::gen::inRange(2, 9));
      claim_table table;
      const std::string before = table.Snapshot();
      const bool restored = table.Restore(Damage(snapshot, steps)).has_value();
      if (!restored) RC_ASSERT(table.Snapshot() == before);
      claim_table other;
      if (!other.Apply(Damage(command, steps))) {
        RC_ASSERT(other.Snapshot() == before);
      }
      (void)DecodeClaimResponse(Damage(command, steps)).has_value();
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(claim_codec_test);

}  // namespace marjoramsill
