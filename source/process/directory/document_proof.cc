#include "process/directory/document_proof.h"

#include <algorithm>

namespace marjoramsill {

document_proof::document_proof(std::chrono::milliseconds max_age)
    : max_age_(max_age) {}

void document_proof::Confirm(document_version newest, steady_time as_of) {
  newest_ = std::max(newest_, newest);
  as_of_ = is_confirmed_ ? std::max(as_of_, as_of) : as_of;
  is_confirmed_ = true;
}

bool document_proof::IsCurrent(document_version held, steady_time now) const {
  return is_confirmed_ && held >= newest_ && now - as_of_ <= max_age_;
}

}  // namespace marjoramsill
