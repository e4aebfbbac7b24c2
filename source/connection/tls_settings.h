#ifndef MARJORAMSILL_CONNECTION_TLS_SETTINGS_H_
#define MARJORAMSILL_CONNECTION_TLS_SETTINGS_H_

#include <string>

namespace marjoramsill {

/// PEM files for the TLS connections between VMs. Both sides must present a
/// certificate that the authority has signed.
struct tls_settings {
  std::string certificate_file;
  std::string key_file;
  std::string authority_file;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_CONNECTION_TLS_SETTINGS_H_
