#include "connection/tls_context_source.h"

#include <algorithm>
#include <asio/ssl/context.hpp>
#include <asio/ssl/verify_mode.hpp>
#include <system_error>
#include <utility>

namespace marjoramsill {

tls_context_source::tls_context_source(tls_settings settings)
    : settings_(std::move(settings)) {}

result<std::shared_ptr<asio::ssl::context>, tls_error>
tls_context_source::Current() {
  const write_time newest = NewestWriteTime();
  if (context_ && newest == loaded_) return context_;
  auto loaded = Load();
  if (loaded) {
    context_ = std::move(loaded).assume_value();
    loaded_ = newest;
    return context_;
  }
  // The files may be in the middle of a replacement; the previous context stays
  // in use.
  if (context_) return context_;
  return loaded;
}

result<std::shared_ptr<asio::ssl::context>, tls_error>
tls_context_source::Load() const {
  auto context = std::make_shared<asio::ssl::context>(asio::ssl::context::tls);
  context->set_options(
      asio::ssl::context::no_tlsv1 | asio::ssl::context::no_tlsv1_1 |
      asio::ssl::context::no_sslv2 | asio::ssl::context::no_sslv3);
  std::error_code error;
  context->use_certificate_chain_file(settings_.certificate_file, error);
  if (error) {
    return failure(tls_error{settings_.certificate_file, error.message()});
  }
  context->use_private_key_file(settings_.key_file, asio::ssl::context::pem,
                                error);
  if (error) return failure(tls_error{settings_.key_file, error.message()});
  context->load_verify_file(settings_.authority_file, error);
  if (error) {
    return failure(tls_error{settings_.authority_file, error.message()});
  }
  context->set_verify_mode(asio::ssl::verify_peer |
                           asio::ssl::verify_fail_if_no_peer_cert);
  return context;
}

tls_context_source::write_time tls_context_source::NewestWriteTime() const {
  write_time newest{};
  for (const std::string* file :
       {&settings_.certificate_file, &settings_.key_file,
        &settings_.authority_file}) {
    std::error_code error;
    const auto time = std::filesystem::last_write_time(*file, error);
    if (!error) newest = std::max(newest, time);
  }
  return newest;
}

}  // namespace marjoramsill
