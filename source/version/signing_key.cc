#include "version/signing_key.h"

#include <openssl/bio.h>
#include <openssl/evp.h>
#include <openssl/pem.h>

#include <algorithm>
#include <memory>
#include <vector>

namespace marjoramsill {
namespace {

struct key_free {
  void operator()(EVP_PKEY* key) const { EVP_PKEY_free(key); }
};
struct digest_free {
  void operator()(EVP_MD_CTX* context) const { EVP_MD_CTX_free(context); }
};
struct bio_free {
  void operator()(BIO* bio) const { BIO_free(bio); }
};
using key_ptr = std::unique_ptr<EVP_PKEY, key_free>;
using digest_ptr = std::unique_ptr<EVP_MD_CTX, digest_free>;
using bio_ptr = std::unique_ptr<BIO, bio_free>;

constexpr std::size_t kKeyTextLength = 44;

const unsigned char* Bytes(std::string_view text) {
  return reinterpret_cast<const unsigned char*>(text.data());
}

key_ptr LoadSecret(const secret_key& key) {
  return key_ptr(EVP_PKEY_new_raw_private_key(EVP_PKEY_ED25519, nullptr,
                                              key.data(), key.size()));
}

key_ptr LoadPublic(const public_key& key) {
  return key_ptr(EVP_PKEY_new_raw_public_key(EVP_PKEY_ED25519, nullptr,
                                             key.data(), key.size()));
}

std::string Contents(BIO* bio) {
  char* data = nullptr;
  const long size = BIO_get_mem_data(bio, &data);  // NOLINT(google-runtime-int)
  return std::string(data, static_cast<std::size_t>(size));
}

// Without a callback, OpenSSL prompts for a passphrase on the terminal if the
// file is encrypted. An empty passphrase makes the read fail instead.
int NoPassphrase(char*, int, int, void*) { return 0; }

bool IsEd25519(const EVP_PKEY* key) {
  return EVP_PKEY_get_base_id(key) == EVP_PKEY_ED25519;
}

}  // namespace

std::string_view KeyErrorName(key_error error) {
  switch (error) {
    case key_error::kNotPem:
      return "not a PEM key";
    case key_error::kNotEd25519:
      return "not an Ed25519 key";
    case key_error::kLibrary:
      return "rejected by the cryptographic library";
  }
  return "unknown";
}

bool VerifyEd25519(const public_key& key, std::string_view bytes,
                   const signature& signed_with) {
  const key_ptr loaded = LoadPublic(key);
  const digest_ptr context(EVP_MD_CTX_new());
  if (!loaded || !context) return false;
  if (EVP_DigestVerifyInit(context.get(), nullptr, nullptr, nullptr,
                           loaded.get()) != 1) {
    return false;
  }
  return EVP_DigestVerify(context.get(), signed_with.data(), signed_with.size(),
                          Bytes(bytes), bytes.size()) == 1;
}

result<signature, key_error> SignEd25519(const secret_key& key,
                                         std::string_view bytes) {
  const key_ptr loaded = LoadSecret(key);
  const digest_ptr context(EVP_MD_CTX_new());
  signature created{};
  std::size_t size = created.size();
  if (!loaded || !context ||
      EVP_DigestSignInit(context.get(), nullptr, nullptr, nullptr,
                         loaded.get()) != 1 ||
      EVP_DigestSign(context.get(), created.data(), &size, Bytes(bytes),
                     bytes.size()) != 1) {
    return failure(key_error::kLibrary);
  }
  return created;
}

result<public_key, key_error> PublicKeyOf(const secret_key& key) {
  const key_ptr loaded = LoadSecret(key);
  public_key raw{};
  std::size_t size = raw.size();
  if (!loaded ||
      EVP_PKEY_get_raw_public_key(loaded.get(), raw.data(), &size) != 1) {
    return failure(key_error::kLibrary);
  }
  return raw;
}

result<std::string, key_error> SecretKeyToPem(const secret_key& key) {
  const key_ptr loaded = LoadSecret(key);
  const bio_ptr bio(BIO_new(BIO_s_mem()));
  if (!loaded || !bio ||
      PEM_write_bio_PKCS8PrivateKey(bio.get(), loaded.get(), nullptr, nullptr,
                                    0, nullptr, nullptr) != 1) {
    return failure(key_error::kLibrary);
  }
  return Contents(bio.get());
}

result<secret_key, key_error> SecretKeyFromPem(const std::string& pem) {
  const bio_ptr bio(BIO_new_mem_buf(pem.data(), static_cast<int>(pem.size())));
  if (!bio) return failure(key_error::kLibrary);
  const key_ptr loaded(
      PEM_read_bio_PrivateKey(bio.get(), nullptr, NoPassphrase, nullptr));
  if (!loaded) return failure(key_error::kNotPem);
  if (!IsEd25519(loaded.get())) return failure(key_error::kNotEd25519);
  secret_key raw{};
  std::size_t size = raw.size();
  if (EVP_PKEY_get_raw_private_key(loaded.get(), raw.data(), &size) != 1) {
    return failure(key_error::kLibrary);
  }
  return raw;
}

result<std::string, key_error> PublicKeyToPem(const public_key& key) {
  const key_ptr loaded = LoadPublic(key);
  const bio_ptr bio(BIO_new(BIO_s_mem()));
  if (!loaded || !bio || PEM_write_bio_PUBKEY(bio.get(), loaded.get()) != 1) {
    return failure(key_error::kLibrary);
  }
  return Contents(bio.get());
}

result<public_key, key_error> PublicKeyFromPem(const std::string& pem) {
  const bio_ptr bio(BIO_new_mem_buf(pem.data(), static_cast<int>(pem.size())));
  if (!bio) return failure(key_error::kLibrary);
  const key_ptr loaded(
      PEM_read_bio_PUBKEY(bio.get(), nullptr, NoPassphrase, nullptr));
  if (!loaded) return failure(key_error::kNotPem);
  if (!IsEd25519(loaded.get())) return failure(key_error::kNotEd25519);
  public_key raw{};
  std::size_t size = raw.size();
  if (EVP_PKEY_get_raw_public_key(loaded.get(), raw.data(), &size) != 1) {
    return failure(key_error::kLibrary);
  }
  return raw;
}

std::string PublicKeyToText(const public_key& key) {
  std::string text(kKeyTextLength + 1, '\0');
  EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()), key.data(),
                  static_cast<int>(key.size()));
  text.resize(kKeyTextLength);
  return text;
}

std::optional<public_key> PublicKeyFromText(std::string_view text) {
  if (text.size() != kKeyTextLength) return std::nullopt;
  std::array<std::uint8_t, 33> decoded{};
  const int size = EVP_DecodeBlock(decoded.data(), Bytes(text),
                                   static_cast<int>(text.size()));
  if (size != static_cast<int>(decoded.size())) return std::nullopt;
  public_key key{};
  std::copy_n(decoded.begin(), key.size(), key.begin());
  // Only the canonical encoding is accepted, so that keys can be compared as
  // text.
  if (PublicKeyToText(key) != text) return std::nullopt;
  return key;
}

}  // namespace marjoramsill
