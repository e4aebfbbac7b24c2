#ifndef MARJORAMSILL_VERSION_SUBMISSION_H_
#define MARJORAMSILL_VERSION_SUBMISSION_H_

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

#include "types/ids.h"
#include "types/random_source.h"
#include "types/result.h"
#include "version/signing_key.h"
#include "version/wire_error.h"

namespace marjoramsill {

using submission_id = std::array<std::uint8_t, 16>;

/// A signed change of one section. Empty bytes remove the section.
struct submission {
  submission_id id{};
  team_id team;
  section_name section;
  /// Version of the section on which the change is based; 0 for a new section.
  section_version base;
  std::string bytes;
  signature signed_with{};

  friend bool operator==(const submission&, const submission&) = default;
};

submission_id MakeSubmissionId(const random_source& random);
std::string SubmissionIdText(const submission_id& id);

/// The bytes covered by the signature: a prefix that no other message of the
/// fleet uses, and all fields except the signature.
std::string SignedBytes(const submission& unsigned_submission);
/// Signs the submission and stores the signature in it.
result<void, key_error> Sign(const secret_key& key, submission& target);

std::string EncodeSubmission(const submission& value);
result<submission, wire_error> DecodeSubmission(std::string_view bytes);

}  // namespace marjoramsill

#endif  // MARJORAMSILL_VERSION_SUBMISSION_H_
