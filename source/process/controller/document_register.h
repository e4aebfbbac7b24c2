#ifndef MARJORAMSILL_PROCESS_CONTROLLER_DOCUMENT_REGISTER_H_
#define MARJORAMSILL_PROCESS_CONTROLLER_DOCUMENT_REGISTER_H_

#include <string>
#include <string_view>

#include "process/controller/stored_document.h"
#include "process/directory/evacuation_set.h"

namespace marjoramsill {

/// Replicated state machine that holds the routing document with the highest
/// version and the set of evacuated failure domains. A document with a lower or
/// equal version has no effect, so that submissions can be repeated and
/// reordered. An order for what is already so has none either.
class document_register {
 public:
  /// Applies a committed command: an encoded document or evacuation_order.
  /// Returns the resulting version of the document or the resulting change
  /// number of the set as decimal text; nothing if the set is full. A command
  /// that cannot be decoded changes nothing.
  std::string Apply(std::string_view command);
  std::string Snapshot() const;
  /// False if the bytes are damaged. Empty bytes are the state of a new group.
  /// A snapshot of an earlier build lacks the set; the one that was applied
  /// here stays then, since its change number is higher.
  bool Restore(std::string_view bytes);

  const stored_document& held() const { return held_; }
  const evacuation_set& evacuations() const { return evacuations_; }

 private:
  stored_document held_;
  evacuation_set evacuations_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_CONTROLLER_DOCUMENT_REGISTER_H_
