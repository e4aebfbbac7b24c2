#ifndef MARJORAMSILL_VERSION_SUBMISSION_FIELDS_H_
#define MARJORAMSILL_VERSION_SUBMISSION_FIELDS_H_

#include "version/section_record.h"
#include "version/submission.h"
#include "version/wire_reader.h"

namespace marjoramsill {

inline constexpr std::size_t kMaxNameBytes = 96;

/// Encode and decode a submission or record as a msgpack array nested in a
/// message.
void PackSubmission(wire_packer& packer, const submission& value);
submission ReadSubmission(wire_reader fields);

void PackRecord(wire_packer& packer, const section_record& record);
section_record ReadRecord(wire_reader fields);

}  // namespace marjoramsill

#endif  // MARJORAMSILL_VERSION_SUBMISSION_FIELDS_H_
