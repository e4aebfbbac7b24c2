#include "process/directory/stream_origin.h"

#include <xxhash.h>

#include <charconv>
#include <cstdint>
#include <string>
#include <system_error>

#include "process/directory/endpoint_record.h"

namespace marjoramsill {
namespace {

std::optional<std::uint64_t> Number(std::string_view text) {
  std::uint64_t number = 0;
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, number);
  if (error != std::errc() || stop != end) return std::nullopt;
  return number;
}

}  // namespace

stream_digest DigestOfStream(std::string_view request) {
  return stream_digest(XXH3_64bits(request.data(), request.size()));
}

software_digest DigestOfSoftware(const endpoint_record& endpoint) {
  const std::string& pool = endpoint.pool.value();
  const std::string& version = endpoint.software;
  const std::uint64_t seed = XXH3_64bits(pool.data(), pool.size());
  const std::uint64_t hash =
      XXH3_64bits_withSeed(version.data(), version.size(), seed);
  return software_digest(static_cast<std::uint32_t>(hash));
}

std::string EncodeStreamDigest(stream_digest stream) {
  return std::to_string(stream.value());
}

std::optional<stream_digest> DecodeStreamDigest(std::string_view text) {
  const auto number = Number(text);
  if (!number) return std::nullopt;
  return stream_digest(*number);
}

std::string EncodeSoftwareDigest(software_digest software) {
  return std::to_string(software.value());
}

std::optional<software_digest> DecodeSoftwareDigest(std::string_view text) {
  const auto number = Number(text);
  if (!number) return std::nullopt;
  return software_digest(*number);
}

}  // namespace marjoramsill
