#ifndef MARJORAMSILL_CONNECTION_ASIO_BYTE_STREAM_H_
#define MARJORAMSILL_CONNECTION_ASIO_BYTE_STREAM_H_

#include <asio/write.hpp>
#include <memory>
#include <utility>

#include "connection/byte_stream.h"

namespace marjoramsill {

/// byte_stream on an Asio stream: a TCP socket or a TLS stream. Keeps the
/// context that a TLS stream refers to alive as long as the stream.
template <class Stream, class Context>
class asio_byte_stream final : public byte_stream {
 public:
  asio_byte_stream(Stream stream, std::shared_ptr<Context> context)
      : context_(std::move(context)), stream_(std::move(stream)) {}

  Stream& stream() { return stream_; }

  void AsyncRead(asio::mutable_buffer buffer, completion done) override {
    stream_.async_read_some(buffer, std::move(done));
  }

  void AsyncWrite(asio::const_buffer buffer, completion done) override {
    asio::async_write(stream_, buffer, std::move(done));
  }

  void Close() override {
    std::error_code ignored;
    stream_.lowest_layer().close(ignored);
  }

 private:
  std::shared_ptr<Context> context_;
  Stream stream_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_CONNECTION_ASIO_BYTE_STREAM_H_
