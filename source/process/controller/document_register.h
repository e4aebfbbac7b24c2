#ifndef MARJORAMSILL_PROCESS_CONTROLLER_DOCUMENT_REGISTER_H_
#define MARJORAMSILL_PROCESS_CONTROLLER_DOCUMENT_REGISTER_H_

#include <string>
#include <string_view>

#include "process/controller/stored_document.h"

namespace marjoramsill {

/// Replicated state machine that holds the routing document with the highest
/// version. A document with a lower or equal version has no effect, so that
/// submissions can be repeated and reordered.
class document_register {
 public:
  /// Applies a committed document and returns the resulting version as decimal
  /// text. A command that cannot be decoded changes nothing.
  std::string Apply(std::string_view command);
  std::string Snapshot() const;
  /// False if the bytes are damaged. Empty bytes are the state of a new group.
  bool Restore(std::string_view bytes);

  const stored_document& held() const { return held_; }

 private:
  stored_document held_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_CONTROLLER_DOCUMENT_REGISTER_H_
