#ifndef MARJORAMSILL_PROCESS_CONTROLLER_NAMED_POOLS_H_
#define MARJORAMSILL_PROCESS_CONTROLLER_NAMED_POOLS_H_

#include <functional>
#include <optional>
#include <string>
#include <unordered_set>

#include "types/ids.h"
#include "types/result.h"

namespace marjoramsill {

struct control_dialect;
struct stored_document;

/// The pools that the document in force names. Decodes a document only once it
/// is asked, which is seldom. Not thread-safe.
class named_pools {
 public:
  using held_hook = std::function<stored_document()>;
  using unpack_hook =
      std::function<std::optional<std::string>(const std::string& packed)>;

  named_pools(const control_dialect& dialect, held_hook held,
              unpack_hook unpack);

  /// True without a document as well, and if it cannot be read.
  bool Contains(const model_id& pool);

 private:
  void Read(const stored_document& document);

  const control_dialect& dialect_;
  const held_hook held_;
  const unpack_hook unpack_;
  document_version version_;
  std::unordered_set<model_id> pools_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_CONTROLLER_NAMED_POOLS_H_
