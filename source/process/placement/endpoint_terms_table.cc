#include "process/placement/endpoint_terms_table.h"

#include "process/directory/endpoint_record.h"

namespace marjoramsill {

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
  std::erase_if(entries_, [now](const auto& item) {
    const std::shared_ptr<endpoint_terms>& terms = item.second.terms;
    return terms.use_count() == 1 && !terms->IsPaused(now);
  });
}

}  // namespace marjoramsill
