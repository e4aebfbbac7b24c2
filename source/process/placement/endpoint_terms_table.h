#ifndef MARJORAMSILL_PROCESS_PLACEMENT_ENDPOINT_TERMS_TABLE_H_
#define MARJORAMSILL_PROCESS_PLACEMENT_ENDPOINT_TERMS_TABLE_H_

#include <cstddef>
#include <map>
#include <memory>

#include "process/placement/endpoint_terms.h"
#include "types/ids.h"
#include "types/steady_time.h"

namespace marjoramsill {

struct endpoint_record;

/// The terms of all endpoints, by their ids. They outlive the estimate of an
/// endpoint in a pool: its record may end and come back, or change its pool.
class endpoint_terms_table {
 public:
  /// The terms of the endpoint with this record; never null.
  std::shared_ptr<endpoint_terms> Of(const endpoint_record& record);
  /// Removes the terms that no pool uses, unless the endpoint is in a pause or
  /// leaves.
  void Expire(steady_time now);
  std::size_t size() const { return entries_.size(); }

 private:
  struct entry {
    std::shared_ptr<endpoint_terms> terms;
    incarnation_number incarnation;
    /// When a pool was last seen to use the terms.
    steady_time used_at;
  };

  std::map<endpoint_id, entry> entries_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_PLACEMENT_ENDPOINT_TERMS_TABLE_H_
