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

/// Provides the TLS context for new connections. Reloads the files when one of
/// them has changed, so that certificates are renewed without a restart. Not
/// thread-safe.
class tls_context_source {
 public:
  explicit tls_context_source(tls_settings settings);

  /// Returns the context of the newest files that could be loaded. Fails only
  /// if no files have been loaded yet.
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
