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
// bytes before it, end tag. A document may contain the tags, too.
constexpr std::string_view kMagic = "\x50\x2a\x4d\x18";
constexpr std::size_t kSizeBytes = 4;
constexpr std::string_view kStartTag = "evacset{";
constexpr std::string_view kEndTag = "}evacset";
constexpr std::size_t kChecksumBytes = 8;
constexpr std::size_t kHeadBytes = kMagic.size() + kSizeBytes;
constexpr std::size_t kTailBytes = kChecksumBytes + kEndTag.size();
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
  AppendNumber(frame, kStartTag.size() + set_bytes + kTailBytes, kSizeBytes);
  frame += kStartTag;
  return frame;
}

/// True if a frame that goes on to the end begins at `start`, though damaged in
/// its magic number, its size or one of its tags. A document that contains a
/// tag has no such frame.
bool IsFrame(std::string_view bytes, std::size_t start) {
  const std::string_view frame = bytes.substr(start);
  std::string size;
  AppendNumber(size, frame.size() - kHeadBytes, kSizeBytes);
  const bool has_magic = frame.starts_with(kMagic);
  const bool has_size = frame.substr(kMagic.size(), kSizeBytes) == size;
  if (frame.substr(kHeadBytes).starts_with(kStartTag)) {
    return has_magic || has_size;
  }
  return has_magic && has_size && frame.ends_with(kEndTag);
}

/// Start of the last frame, or nothing for a snapshot of the earlier format.
std::optional<std::size_t> FindFrame(std::string_view bytes) {
  constexpr std::size_t kFrameStartBytes = kHeadBytes + kStartTag.size();
  if (bytes.size() < kFrameStartBytes) return std::nullopt;
  for (std::size_t end = bytes.size() - kFrameStartBytes + 1; end > 0; --end) {
    if (IsFrame(bytes, end - 1)) return end - 1;
  }
  return std::nullopt;
}

bool ContainsTag(std::string_view bytes) {
  return bytes.find(kStartTag) != std::string_view::npos ||
         bytes.find(kEndTag) != std::string_view::npos;
}

}  // namespace

std::string EncodeRegisterSnapshot(const register_snapshot& snapshot) {
  std::string bytes = EncodeStoredDocument(snapshot.document);
  // A document with a tag could be taken for the frame of a set.
  if (snapshot.evacuations.change == 0 && !ContainsTag(bytes)) return bytes;
  const std::string set = PackSet(snapshot.evacuations);
  bytes += FrameStart(set.size()) + set;
  AppendNumber(bytes, Checksum(bytes), kChecksumBytes);
  bytes += kEndTag;
  return bytes;
}

std::optional<register_snapshot> DecodeRegisterSnapshot(
    std::string_view bytes) {
  register_snapshot snapshot;
  if (const auto frame = FindFrame(bytes)) {
    const std::size_t set_start = *frame + kHeadBytes + kStartTag.size();
    if (bytes.size() < set_start + kTailBytes) return std::nullopt;
    const std::size_t set_end = bytes.size() - kTailBytes;
    std::string tail;
    AppendNumber(tail, Checksum(bytes.substr(0, set_end)), kChecksumBytes);
    tail += kEndTag;
    const bool is_sound = bytes.substr(set_end) == tail &&
                          bytes.substr(*frame, set_start - *frame) ==
                              FrameStart(set_end - set_start);
    if (!is_sound) return std::nullopt;
    auto set = UnpackSet(bytes.substr(set_start, set_end - set_start));
    if (!set) return std::nullopt;
    snapshot.evacuations = std::move(*set);
    bytes = bytes.substr(0, *frame);
  }
  auto document = DecodeStoredDocument(bytes);
  if (!document) return std::nullopt;
  snapshot.document = std::move(*document);
  return snapshot;
}

}  // namespace marjoramsill
