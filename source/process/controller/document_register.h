#ifndef MARJORAMSILL_PROCESS_CONTROLLER_DOCUMENT_REGISTER_H_
#define MARJORAMSILL_PROCESS_CONTROLLER_DOCUMENT_REGISTER_H_

#include <string>
#include <string_view>

#include "process/controller/stored_document.h"

namespace marjoramsill {

/// State machine of the replicated routing document: holds the one with the
/// highest version. A document with a lower or the same version changes
/// nothing, so that submissions may be repeated and overtake each other.
class document_register {
 public:
  /// Applies a committed document; returns the version held afterwards as
  /// decimal text. A command that does not decode changes nothing.
  std::string Apply(std::string_view command);
  std::string Snapshot() const;
  /// False for damaged bytes. Empty bytes are the state of a new group.
  bool Restore(std::string_view bytes);

  const stored_document& held() const { return held_; }

 private:
  stored_document held_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_CONTROLLER_DOCUMENT_REGISTER_H_
