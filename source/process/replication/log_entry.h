#ifndef MARJORAMSILL_PROCESS_REPLICATION_LOG_ENTRY_H_
#define MARJORAMSILL_PROCESS_REPLICATION_LOG_ENTRY_H_

#include <cstdint>
#include <string>

#include "types/ids.h"

namespace marjoramsill {

enum class entry_kind : std::uint8_t {
  /// The payload is a command of the state machine.
  kCommand,
  /// Appended by each new leader. Committing it also commits the entries of
  /// earlier terms.
  kNoOperation,
  /// The payload is an encoded group_configuration, in effect when appended.
  kConfiguration,
};

/// One entry of the replicated log.
struct log_entry {
  log_index index;
  log_term term;
  entry_kind kind = entry_kind::kCommand;
  std::string payload;

  friend bool operator==(const log_entry&, const log_entry&) = default;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_REPLICATION_LOG_ENTRY_H_
