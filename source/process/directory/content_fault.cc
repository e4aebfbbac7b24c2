#include "process/directory/content_fault.h"

#include <xxhash.h>

#include <string>

#include "process/directory/endpoint_record.h"

namespace marjoramsill {

endpoint_run_digest DigestOfRun(const endpoint_record& endpoint) {
  const std::string& id = endpoint.id.value();
  return endpoint_run_digest(static_cast<std::uint32_t>(XXH3_64bits_withSeed(
      id.data(), id.size(), endpoint.incarnation.value())));
}

}  // namespace marjoramsill
