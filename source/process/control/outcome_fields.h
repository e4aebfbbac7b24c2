#ifndef MARJORAMSILL_PROCESS_CONTROL_OUTCOME_FIELDS_H_
#define MARJORAMSILL_PROCESS_CONTROL_OUTCOME_FIELDS_H_

#include "process/control/submission_outcome.h"
#include "version/wire_reader.h"

namespace marjoramsill {

/// Encodes and decodes an outcome as a msgpack array nested in a message.
void PackOutcome(wire_packer& packer, const submission_outcome& outcome);
submission_outcome ReadOutcome(wire_reader fields);

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_CONTROL_OUTCOME_FIELDS_H_
