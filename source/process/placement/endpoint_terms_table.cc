#include "process/placement/endpoint_terms_table.h"

#include <chrono>
#include <iterator>

#include "process/directory/endpoint_record.h"

namespace marjoramsill {
namespace {

/// An endpoint that leaves and that no pool has any more has ended by then.
constexpr std::chrono::minutes kLeavingMemory{2};

}  // namespace

std::shared_ptr<endpoint_terms> endpoint_terms_table::Of(
    const endpoint_record& record) {
  const auto [found, added] = entries_.try_emplace(record.id);
  entry& known = found->second;
  if (added) {
    known.terms = std::make_shared<endpoint_terms>(DigestOf(record.id));
  } else if (known.incarnation != record.incarnation) {
    known.terms->Restart();
  }
  known.incarnation = record.incarnation;
  return known.terms;
}

void endpoint_terms_table::Expire(steady_time now) {
  for (auto it = entries_.begin(); it != entries_.end();) {
    entry& known = it->second;
    if (known.terms.use_count() > 1) known.used_at = now;
    const bool is_old = now - known.used_at > kLeavingMemory;
    const bool is_needed =
        known.terms->IsPaused(now) || (known.terms->is_leaving() && !is_old);
    const bool is_used = known.terms.use_count() > 1;
    it = is_used || is_needed ? std::next(it) : entries_.erase(it);
  }
}

}  // namespace marjoramsill
