#include "process/controller/named_pools.h"

#include <utility>

#include "process/controller/control_dialect.h"
#include "process/controller/stored_document.h"
#include "version/routing/pool_spec.h"
#include "version/routing/routing_document.h"

namespace marjoramsill {

named_pools::named_pools(const control_dialect& dialect, held_hook held,
                         unpack_hook unpack)
    : dialect_(dialect), held_(std::move(held)), unpack_(std::move(unpack)) {}

bool named_pools::Contains(const model_id& pool) {
  const stored_document document = held_();
  if (!document.packed) return true;
  if (document.version != version_) Read(document);
  return pools_.empty() || pools_.contains(pool);
}

void named_pools::Read(const stored_document& document) {
  version_ = document.version;
  pools_.clear();
  const auto text = unpack_(*document.packed);
  if (!text) return;
  const auto read = dialect_.read_document(*text);
  if (!read) return;
  for (const pool_spec& each : read.assume_value().pools) {
    pools_.insert(each.id);
  }
}

}  // namespace marjoramsill
