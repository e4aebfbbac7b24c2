#ifndef MARJORAMSILL_TESTS_DAEMON_TEST_CERTIFICATES_H_
#define MARJORAMSILL_TESTS_DAEMON_TEST_CERTIFICATES_H_

#include <filesystem>
#include <memory>
#include <string>

#include "connection/tls_settings.h"

namespace marjoramsill {

/// A certificate authority with new keys. Its files are in a folder of the
/// test.
class test_authority {
 public:
  /// `name` is the prefix of its files and its common name.
  test_authority(const std::filesystem::path& folder, const std::string& name);
  ~test_authority();
  test_authority(const test_authority&) = delete;
  test_authority& operator=(const test_authority&) = delete;

  /// Writes a new key and a certificate for one VM. The VM trusts this
  /// authority.
  tls_settings Issue(const std::string& vm);

 private:
  struct identity;

  std::filesystem::path File(const std::string& name) const;

  std::filesystem::path folder_;
  std::string name_;
  std::unique_ptr<identity> own_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_TESTS_DAEMON_TEST_CERTIFICATES_H_
