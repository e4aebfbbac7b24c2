#ifndef MARJORAMSILL_CONNECTION_BYTE_STREAM_H_
#define MARJORAMSILL_CONNECTION_BYTE_STREAM_H_

#include <asio/buffer.hpp>
#include <cstddef>
#include <functional>
#include <system_error>

namespace marjoramsill {

/// An ordered stream of bytes to another VM, plaintext or TLS. Used on its I/O
/// thread only, with one read and one write in progress at most.
class byte_stream {
 public:
  using completion = std::function<void(std::error_code, std::size_t)>;

  virtual ~byte_stream() = default;
  virtual void AsyncRead(asio::mutable_buffer buffer, completion done) = 0;
  virtual void AsyncWrite(asio::const_buffer buffer, completion done) = 0;
  virtual void Close() = 0;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_CONNECTION_BYTE_STREAM_H_
