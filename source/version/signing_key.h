#ifndef MARJORAMSILL_VERSION_SIGNING_KEY_H_
#define MARJORAMSILL_VERSION_SIGNING_KEY_H_

#include <array>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "types/result.h"

namespace marjoramsill {

/// Raw Ed25519 keys and signatures (RFC 8032).
using public_key = std::array<std::uint8_t, 32>;
using secret_key = std::array<std::uint8_t, 32>;
using signature = std::array<std::uint8_t, 64>;

enum class key_error { kNotPem, kNotEd25519, kLibrary };

std::string_view KeyErrorName(key_error error);

/// Whether the signature is a valid signature of `bytes` by the key.
using signature_check = std::function<bool(
    const public_key&, std::string_view bytes, const signature&)>;

bool VerifyEd25519(const public_key& key, std::string_view bytes,
                   const signature& signed_with);
result<signature, key_error> SignEd25519(const secret_key& key,
                                         std::string_view bytes);
result<public_key, key_error> PublicKeyOf(const secret_key& key);

/// Convert to and from PEM key files: PKCS #8 `PRIVATE KEY` and `PUBLIC KEY`
/// (RFC 8410), the formats of `openssl genpkey -algorithm ed25519` and `openssl
/// pkey -pubout`.
result<std::string, key_error> SecretKeyToPem(const secret_key& key);
result<secret_key, key_error> SecretKeyFromPem(const std::string& pem);
result<std::string, key_error> PublicKeyToPem(const public_key& key);
result<public_key, key_error> PublicKeyFromPem(const std::string& pem);

/// Base64 of the 32 raw bytes, as used in `teams/root`.
std::string PublicKeyToText(const public_key& key);
std::optional<public_key> PublicKeyFromText(std::string_view text);

}  // namespace marjoramsill

#endif  // MARJORAMSILL_VERSION_SIGNING_KEY_H_
