#include "process/controller/text_compression.h"

#include <zstd.h>

#include <cstdint>

namespace marjoramsill {
namespace {

/// A fast level is sufficient: most of the redundancy is repeated field names.
constexpr int kLevel = 3;

}  // namespace

std::string PackText(std::string_view text) {
  std::string packed(ZSTD_compressBound(text.size()), '\0');
  const std::size_t size = ZSTD_compress(packed.data(), packed.size(),
                                         text.data(), text.size(), kLevel);
  packed.resize(ZSTD_isError(size) != 0 ? 0 : size);
  return packed;
}

std::optional<std::string> UnpackText(std::string_view packed,
                                      std::size_t max_bytes) {
  const std::uint64_t size =
      ZSTD_getFrameContentSize(packed.data(), packed.size());
  if (size == ZSTD_CONTENTSIZE_ERROR || size == ZSTD_CONTENTSIZE_UNKNOWN ||
      size > max_bytes) {
    return std::nullopt;
  }
  std::string text(size, '\0');
  const std::size_t written =
      ZSTD_decompress(text.data(), text.size(), packed.data(), packed.size());
  if (ZSTD_isError(written) != 0 || written != size) return std::nullopt;
  return text;
}

}  // namespace marjoramsill
