#include "process/directory/stream_origin.h"

#include <xxhash.h>

#include <algorithm>
#include <charconv>
#include <cstddef>
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

std::string EncodeStreamOrigins(const std::vector<stream_origin>& origins) {
  std::string text;
  for (const stream_origin& each : origins) {
    text += EncodeStreamDigest(each.stream);
    text += ' ';
    text += EncodeSoftwareDigest(each.software);
    text += '\n';
  }
  return text;
}

std::vector<stream_origin> DecodeStreamOrigins(std::string_view text) {
  std::vector<stream_origin> origins;
  while (!text.empty()) {
    const std::size_t end = std::min(text.find('\n'), text.size());
    const std::string_view line = text.substr(0, end);
    text.remove_prefix(std::min(end + 1, text.size()));
    const std::size_t space = std::min(line.find(' '), line.size());
    const auto stream = DecodeStreamDigest(line.substr(0, space));
    const auto software =
        DecodeSoftwareDigest(line.substr(std::min(space + 1, line.size())));
    if (stream && software) origins.push_back({*stream, *software});
  }
  return origins;
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
