#ifndef MARJORAMSILL_PROCESS_ENTRY_DOCUMENT_IN_FORCE_H_
#define MARJORAMSILL_PROCESS_ENTRY_DOCUMENT_IN_FORCE_H_

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>

#include "process/controller/stored_document.h"
#include "process/directory/document_proof.h"
#include "types/ids.h"
#include "types/result.h"
#include "types/steady_time.h"
#include "version/routing/routing_document.h"
#include "version/routing/routing_error.h"

namespace marjoramsill {

class routing_table;

/// The routing document that an entry process applies, and whether the process
/// may serve with it. The version never decreases.
class document_in_force {
 public:
  using read_hook =
      std::function<result<routing_document, routing_error>(std::string_view)>;

  /// `max_age`: time within which an acknowledged document must be in force.
  document_in_force(read_hook read, std::chrono::milliseconds max_age);
  ~document_in_force();

  /// Applies a document if it is newer. Returns whether it did, or why it
  /// cannot be read.
  result<bool, routing_error> Replace(const stored_document& document,
                                      steady_time now);
  /// No document newer than `newest` had been acknowledged by `as_of`.
  void Confirm(document_version newest, steady_time as_of);
  /// Starts to serve once the document is proven to be current, and the
  /// evacuation set too, or after a time without proof. Returns true if serving
  /// starts now.
  bool StartServing(bool is_evacuation_set_current, steady_time now);

  bool is_serving() const { return is_serving_; }
  /// True if the document is proven to be the newest acknowledged one.
  bool IsCurrent(steady_time now) const;
  /// Version of the document; 0 before the first one.
  document_version version() const;
  /// Null before the first document.
  const std::shared_ptr<const routing_table>& table() const { return table_; }
  /// The document from which table() was built, for other entry processes.
  const stored_document& stored() const { return stored_; }

 private:
  const read_hook read_;
  document_proof proof_;
  std::shared_ptr<const routing_table> table_;
  stored_document stored_;
  steady_time first_at_;
  bool is_serving_ = false;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_ENTRY_DOCUMENT_IN_FORCE_H_
