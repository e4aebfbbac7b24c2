#include "process/controller/register_snapshot.h"

#include <xxhash.h>

#include <cstddef>
#include <cstdint>
#include <exception>
#include <msgpack.hpp>
#include <tuple>
#include <utility>
#include <vector>

namespace marjoramsill {
namespace {

/// Change number, domains.
using set_fields = std::tuple<std::uint64_t, std::vector<std::string>>;

// The frame: magic number, size of the rest, start tag, set, checksum of all
// bytes before it, end tag. Both tags are looked for, so that damage to one of
// them is noticed.
constexpr std::string_view kMagic = "\x50\x2a\x4d\x18";
constexpr std::size_t kSizeBytes = 4;
constexpr std::string_view kStartTag = "evacset{";
constexpr std::string_view kEndTag = "}evacset";
constexpr std::size_t kChecksumBytes = 8;
constexpr unsigned kBitsPerByte = 8;
/// Limit for nested arrays: the set and its list of domains.
constexpr std::size_t kMaxDepth = 3;

/// Least significant byte first, as zstd expects the size.
void AppendNumber(std::string& bytes, std::uint64_t number, std::size_t size) {
  for (std::size_t i = 0; i < size; ++i) {
    bytes.push_back(static_cast<char>(number >> (kBitsPerByte * i) & 0xffU));
  }
}

std::uint64_t Checksum(std::string_view bytes) {
  return XXH3_64bits(bytes.data(), bytes.size());
}

std::string PackSet(const evacuation_set& set) {
  set_fields fields;
  std::get<0>(fields) = set.change;
  for (const failure_domain_id& domain : set.domains) {
    std::get<1>(fields).push_back(domain.value());
  }
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, fields);
  return std::string(buffer.data(), buffer.size());
}

std::optional<evacuation_set> UnpackSet(std::string_view bytes) {
  try {
    set_fields fields;
    const std::size_t most = bytes.size();
    const msgpack::unpack_limit limit(most, 0, most, 0, 0, kMaxDepth);
    msgpack::unpack(bytes.data(), bytes.size(), nullptr, nullptr, limit)
        .get()
        .convert(fields);
    evacuation_set set;
    set.change = std::get<0>(fields);
    for (std::string& domain : std::get<1>(fields)) {
      set.domains.emplace_back(std::move(domain));
    }
    if (!IsValidEvacuationSet(set)) return std::nullopt;
    return set;
  } catch (const std::exception&) {
    // msgpack reports malformed bytes only by exceptions.
    return std::nullopt;
  }
}

std::string FrameStart(std::size_t set_bytes) {
  std::string frame(kMagic);
  AppendNumber(frame,
               kStartTag.size() + set_bytes + kChecksumBytes + kEndTag.size(),
               kSizeBytes);
  frame += kStartTag;
  return frame;
}

}  // namespace

std::string EncodeRegisterSnapshot(const register_snapshot& snapshot) {
  std::string bytes = EncodeStoredDocument(snapshot.document);
  if (snapshot.evacuations.change == 0) return bytes;
  const std::string set = PackSet(snapshot.evacuations);
  bytes += FrameStart(set.size()) + set;
  AppendNumber(bytes, Checksum(bytes), kChecksumBytes);
  bytes += kEndTag;
  return bytes;
}

std::optional<register_snapshot> DecodeRegisterSnapshot(
    std::string_view bytes) {
  register_snapshot snapshot;
  const std::size_t tag = bytes.rfind(kStartTag);
  const bool has_start = tag != std::string_view::npos;
  const bool has_end = bytes.ends_with(kEndTag);
  if (has_start != has_end) return std::nullopt;
  if (has_start) {
    constexpr std::size_t kHeadBytes = kMagic.size() + kSizeBytes;
    const std::size_t set_start = tag + kStartTag.size();
    constexpr std::size_t kTailBytes = kChecksumBytes + kEndTag.size();
    if (tag < kHeadBytes || bytes.size() < set_start + kTailBytes) {
      return std::nullopt;
    }
    const std::size_t set_end = bytes.size() - kTailBytes;
    std::string checksum;
    AppendNumber(checksum, Checksum(bytes.substr(0, set_end)), kChecksumBytes);
    const std::size_t frame = tag - kHeadBytes;
    const bool is_sound = bytes.substr(set_end, kChecksumBytes) == checksum &&
                          bytes.substr(frame, set_start - frame) ==
                              FrameStart(set_end - set_start);
    if (!is_sound) return std::nullopt;
    auto set = UnpackSet(bytes.substr(set_start, set_end - set_start));
    if (!set) return std::nullopt;
    snapshot.evacuations = std::move(*set);
    bytes = bytes.substr(0, frame);
  }
  auto document = DecodeStoredDocument(bytes);
  if (!document) return std::nullopt;
  snapshot.document = std::move(*document);
  return snapshot;
}

}  // namespace marjoramsill
