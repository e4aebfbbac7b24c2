#ifndef MARJORAMSILL_PROCESS_CONTROLLER_EVACUATION_ORDER_H_
#define MARJORAMSILL_PROCESS_CONTROLLER_EVACUATION_ORDER_H_

#include <optional>
#include <string>
#include <string_view>

#include "types/ids.h"

namespace marjoramsill {

/// Evacuates a failure domain, or withdraws its evacuation.
struct evacuation_order {
  failure_domain_id domain;
  bool evacuates = false;
};

/// A command of the replicated group. It begins like a document with version 0,
/// which earlier builds decode and ignore.
std::string EncodeEvacuationOrder(const evacuation_order& order);
/// Nothing if the bytes are not an encoded order.
std::optional<evacuation_order> DecodeEvacuationOrder(std::string_view bytes);

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_CONTROLLER_EVACUATION_ORDER_H_
