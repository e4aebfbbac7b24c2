#ifndef MARJORAMSILL_CONNECTION_TLS_CONTEXT_SOURCE_H_
#define MARJORAMSILL_CONNECTION_TLS_CONTEXT_SOURCE_H_

#include <filesystem>
#include <memory>
#include <string>

#include "connection/tls_error.h"
#include "connection/tls_settings.h"
#include "types/result.h"

namespace asio::ssl {
class context;
}  // namespace asio::ssl

namespace marjoramsill {

/// Gives the TLS context for new connections and loads the files again when
/// one of them has changed, so that certificates are renewed without restart.
/// Used on one thread.
class tls_context_source {
 public:
  explicit tls_context_source(tls_settings settings);

  /// The context of the newest files that loaded. Fails only when no files
  /// have loaded yet.
  result<std::shared_ptr<asio::ssl::context>, tls_error> Current();

 private:
  using write_time = std::filesystem::file_time_type;

  result<std::shared_ptr<asio::ssl::context>, tls_error> Load() const;
  write_time NewestWriteTime() const;

  tls_settings settings_;
  std::shared_ptr<asio::ssl::context> context_;
  write_time loaded_{};
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_CONNECTION_TLS_CONTEXT_SOURCE_H_
