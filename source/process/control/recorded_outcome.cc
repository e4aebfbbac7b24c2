#include "process/control/recorded_outcome.h"

#include <openssl/evp.h>

#include <string>

namespace marjoramsill {

content_digest DigestOf(const submission& value) {
  const std::string bytes = EncodeSubmission(value);
  content_digest digest{};
  EVP_Digest(bytes.data(), bytes.size(), digest.data(), nullptr, EVP_sha256(),
             nullptr);
  return digest;
}

}  // namespace marjoramsill
