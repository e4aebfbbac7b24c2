#include "test_certificates.h"

#include <cppunit/TestAssert.h>
#include <openssl/ec.h>
#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509.h>
#include <openssl/x509v3.h>

#include <cstdio>

namespace marjoramsill {
namespace {

using key_ptr = std::unique_ptr<EVP_PKEY, decltype(&EVP_PKEY_free)>;
using certificate_ptr = std::unique_ptr<X509, decltype(&X509_free)>;
using file_ptr = std::unique_ptr<std::FILE, decltype(&std::fclose)>;

constexpr long kVersion3 = 2;
constexpr long kValidSeconds = 3'600;

void SetName(X509_NAME* name, const std::string& text) {
  X509_NAME_add_entry_by_txt(
      name, "CN", MBSTRING_ASC,
      reinterpret_cast<const unsigned char*>(text.c_str()), -1, -1, 0);
}

void AddBasicConstraints(X509* certificate, bool is_authority) {
  X509_EXTENSION* extension =
      X509V3_EXT_conf_nid(nullptr, nullptr, NID_basic_constraints,
                          is_authority ? "critical,CA:TRUE" : "CA:FALSE");
  CPPUNIT_ASSERT(extension != nullptr);
  X509_add_ext(certificate, extension, -1);
  X509_EXTENSION_free(extension);
}

certificate_ptr MakeCertificate(const std::string& subject, EVP_PKEY* key,
                                const std::string& issuer, EVP_PKEY* signer) {
  certificate_ptr made(X509_new(), X509_free);
  X509_set_version(made.get(), kVersion3);
  ASN1_INTEGER_set(X509_get_serialNumber(made.get()), signer == key ? 1 : 2);
  X509_gmtime_adj(X509_getm_notBefore(made.get()), -kValidSeconds);
  X509_gmtime_adj(X509_getm_notAfter(made.get()), kValidSeconds);
  X509_set_pubkey(made.get(), key);
  SetName(X509_get_subject_name(made.get()), subject);
  SetName(X509_get_issuer_name(made.get()), issuer);
  AddBasicConstraints(made.get(), signer == key);
  CPPUNIT_ASSERT(X509_sign(made.get(), signer, EVP_sha256()) > 0);
  return made;
}

void WriteCertificate(const std::string& path, X509* certificate) {
  const file_ptr file(std::fopen(path.c_str(), "w"), std::fclose);
  CPPUNIT_ASSERT(file && PEM_write_X509(file.get(), certificate) == 1);
}

}  // namespace

struct test_authority::identity {
  key_ptr key{EVP_EC_gen("P-256"), EVP_PKEY_free};
};

test_authority::test_authority(const std::filesystem::path& folder,
                               const std::string& name)
    : folder_(folder), name_(name), own_(std::make_unique<identity>()) {
  const auto certificate =
      MakeCertificate(name_, own_->key.get(), name_, own_->key.get());
  WriteCertificate(File("authority.pem").string(), certificate.get());
}

test_authority::~test_authority() = default;

tls_settings test_authority::Issue(const std::string& vm) {
  const tls_settings files{File(vm + ".pem").string(),
                           File(vm + ".key").string(),
                           File("authority.pem").string()};
  const key_ptr key(EVP_EC_gen("P-256"), EVP_PKEY_free);
  const auto certificate =
      MakeCertificate(vm, key.get(), name_, own_->key.get());
  WriteCertificate(files.certificate_file, certificate.get());
  const file_ptr file(std::fopen(files.key_file.c_str(), "w"), std::fclose);
  CPPUNIT_ASSERT(file &&
                 PEM_write_PrivateKey(file.get(), key.get(), nullptr, nullptr,
                                      0, nullptr, nullptr) == 1);
  return files;
}

std::filesystem::path test_authority::File(const std::string& name) const {
  return folder_ / (name_ + "-" + name);
}

}  // namespace marjoramsill
