#ifndef MARJORAMSILL_VERSION_ROUTING_ROUTING_CHECK_H_
#define MARJORAMSILL_VERSION_ROUTING_ROUTING_CHECK_H_

#include <optional>

#include "version/routing/routing_error.h"

namespace marjoramsill {

struct routing_document;

/// The first inconsistency in a document; nothing if it is valid.
std::optional<routing_error> CheckRouting(const routing_document& document);

}  // namespace marjoramsill

#endif  // MARJORAMSILL_VERSION_ROUTING_ROUTING_CHECK_H_
