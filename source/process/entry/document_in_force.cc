#include "process/entry/document_in_force.h"

#include <cstddef>
#include <utility>

#include "process/controller/text_compression.h"
#include "version/routing/routing_table.h"

namespace marjoramsill {
namespace {

/// A process that starts waits this long for the proof that its first document
/// is current. It then serves with what it has, since its failure domain may be
/// cut off.
constexpr std::chrono::milliseconds kProofWait{2'000};

}  // namespace

document_in_force::document_in_force(read_hook read,
                                     std::chrono::milliseconds max_age)
    : read_(std::move(read)), proof_(max_age) {}

document_in_force::~document_in_force() = default;

result<bool, routing_error> document_in_force::Replace(
    const stored_document& document, steady_time now) {
  if (!document.packed || document.version <= version()) return false;
  const auto text = UnpackText(*document.packed, kMaxDocumentBytes);
  if (!text) return false;
  auto parsed = read_(*text);
  if (!parsed) return failure(std::move(parsed).assume_error());
  if (!table_) first_at_ = now;
  table_ =
      std::make_shared<const routing_table>(std::move(parsed).assume_value());
  stored_ = document;
  return true;
}

void document_in_force::Confirm(document_version newest, steady_time as_of) {
  proof_.Confirm(newest, as_of);
}

bool document_in_force::StartServing(bool is_evacuation_set_current,
                                     steady_time now) {
  if (is_serving_ || !table_) return false;
  const bool is_proven = IsCurrent(now) && is_evacuation_set_current;
  is_serving_ = is_proven || now - first_at_ >= kProofWait;
  return is_serving_;
}

bool document_in_force::IsCurrent(steady_time now) const {
  return proof_.IsCurrent(version(), now);
}

document_version document_in_force::version() const {
  return table_ ? table_->version() : document_version();
}

}  // namespace marjoramsill
