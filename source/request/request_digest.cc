#include "request/request_digest.h"

#include <xxhash.h>

#include <array>
#include <cstdint>

#include "connection/caller_message.h"

namespace marjoramsill {

content_digest DigestOfRequest(const caller_message& message,
                               std::string_view workspace) {
  const http_field* host = FindField(message.fields, "Host");
  std::string_view host_name;
  if (host != nullptr) host_name = host->value;
  const std::array<std::string_view, 5> fields = {
      message.method, host_name, message.target, workspace, message.body};
  // Each field is hashed with the hash before it as the seed, so that the same
  // bytes divided otherwise give another hash.
  std::uint64_t hash = 0;
  for (const std::string_view field : fields) {
    hash = XXH3_64bits_withSeed(field.data(), field.size(), hash);
  }
  return content_digest(hash);
}

}  // namespace marjoramsill
