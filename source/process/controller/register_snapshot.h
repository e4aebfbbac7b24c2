#ifndef MARJORAMSILL_PROCESS_CONTROLLER_REGISTER_SNAPSHOT_H_
#define MARJORAMSILL_PROCESS_CONTROLLER_REGISTER_SNAPSHOT_H_

#include <optional>
#include <string>
#include <string_view>

#include "process/controller/stored_document.h"
#include "process/directory/evacuation_set.h"

namespace marjoramsill {

/// The state of a document_register.
struct register_snapshot {
  stored_document document;
  evacuation_set evacuations;
};

/// The encoded document; after it, if a domain was ever evacuated or the
/// document contains a tag of the frame, a skippable frame of zstd with the
/// evacuation set. Earlier builds read the document and
/// skip the frame when they unpack its text.
std::string EncodeRegisterSnapshot(const register_snapshot& snapshot);
/// Nothing if the bytes are damaged.
std::optional<register_snapshot> DecodeRegisterSnapshot(std::string_view bytes);

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_CONTROLLER_REGISTER_SNAPSHOT_H_
