#ifndef MARJORAMSILL_PROCESS_DIRECTORY_STREAM_ORIGIN_H_
#define MARJORAMSILL_PROCESS_DIRECTORY_STREAM_ORIGIN_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "types/ids.h"
#include "types/strong_number.h"

namespace marjoramsill {

struct endpoint_record;

/// 64-bit hash of the id of the request that brought a stream's first event.
using stream_digest = strong_number<struct stream_digest_tag>;
/// 32-bit hash of a pool and a software version of its endpoints. What
/// endpoints of two versions write does not fit together in one stream.
using software_digest = strong_number<struct software_digest_tag>;

stream_digest DigestOfStream(std::string_view request);
software_digest DigestOfSoftware(const endpoint_record& endpoint);

/// The software that began a stream.
struct stream_origin {
  stream_digest stream;
  software_digest software;

  friend bool operator==(const stream_origin&, const stream_origin&) = default;
};

/// As decimal text, for a request about one stream and its response. Decoding
/// returns nothing for other text.
std::string EncodeStreamDigest(stream_digest stream);
std::optional<stream_digest> DecodeStreamDigest(std::string_view text);
/// One line for each origin: "STREAM SOFTWARE".
std::string EncodeStreamOrigins(const std::vector<stream_origin>& origins);
/// Leaves out lines that are not an encoded origin.
std::vector<stream_origin> DecodeStreamOrigins(std::string_view text);
std::string EncodeSoftwareDigest(software_digest software);
std::optional<software_digest> DecodeSoftwareDigest(std::string_view text);

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_DIRECTORY_STREAM_ORIGIN_H_
