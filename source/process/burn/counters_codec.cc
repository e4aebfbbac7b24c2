#include "process/burn/counters_codec.h"

#include <limits>
#include <msgpack.hpp>
#include <utility>

namespace marjoramsill {
namespace {

constexpr std::uint32_t kKeyFieldCount = 5;
constexpr std::size_t kMaxNameBytes = 256;
constexpr std::size_t kMaxDepth = 5;
// Counts are summed over the fleet; this bound prevents an overflow of the sum.
constexpr std::uint64_t kMaxCount = std::uint64_t{1} << 48U;

using packer = msgpack::packer<msgpack::sbuffer>;

void PackSeries(packer& to, const counter_values& values) {
  // Leading points without requests are omitted.
  std::size_t first = 0;
  while (first < kSeriesPoints && values.series.at(first) == series_point{}) {
    ++first;
  }
  to.pack_array(static_cast<std::uint32_t>(2 * (kSeriesPoints - first)));
  for (std::size_t i = first; i < kSeriesPoints; ++i) {
    to.pack(values.series.at(i).good);
    to.pack(values.series.at(i).bad);
  }
}

void Pack(packer& to, const counter_key& key, const counter_values& values) {
  to.pack_array(kKeyFieldCount);
  to.pack(static_cast<std::uint8_t>(key.rank));
  to.pack(key.failure_domain.value());
  to.pack(static_cast<std::uint8_t>(key.size));
  to.pack_array(kBurnWindowCount);
  for (const event_counts& counts : values.windows) to.pack(counts);
  PackSeries(to, values);
}

bool IsArray(const msgpack::object& value, std::size_t min_size) {
  return value.type == msgpack::type::ARRAY && value.via.array.size >= min_size;
}

using kind = counters_decode_error_kind;

/// Decodes one key. If Read() returns false, error() describes the invalid
/// field.
class key_reader {
 public:
  bool Read(const msgpack::object& from, counter_snapshot& to) {
    if (!IsArray(from, kKeyFieldCount)) return Fail(kind::kMalformed, "key");
    const msgpack::object* fields = from.via.array.ptr;
    counter_key key;
    std::uint64_t number = 0;
    if (!Integer(fields[0], kRankCount - 1, "rank", number)) return false;
    key.rank = static_cast<rank>(number);
    if (fields[1].type != msgpack::type::STR) {
      return Fail(kind::kMalformed, "failure_domain");
    }
    key.failure_domain = failure_domain_id(
        std::string(fields[1].via.str.ptr, fields[1].via.str.size));
    if (!Integer(fields[2], 1, "size", number)) return false;
    key.size = static_cast<size_class>(number);
    counter_values values;
    if (!Windows(fields[3], values) || !Series(fields[4], values)) {
      return false;
    }
    AddSnapshot({{std::move(key), values}}, to);
    return true;
  }
  const counters_decode_error& error() const { return error_; }

 private:
  bool Windows(const msgpack::object& from, counter_values& to) {
    if (!IsArray(from, kBurnWindowCount)) {
      return Fail(kind::kMalformed, "windows");
    }
    for (std::size_t i = 0; i < kBurnWindowCount; ++i) {
      const msgpack::object& counts = from.via.array.ptr[i];
      if (!IsArray(counts, kServiceEventCount)) {
        return Fail(kind::kMalformed, "windows");
      }
      for (std::size_t event = 0; event < kServiceEventCount; ++event) {
        if (!Integer(counts.via.array.ptr[event], kMaxCount, "windows",
                     to.windows.at(i).at(event))) {
          return false;
        }
      }
    }
    return true;
  }
  bool Series(const msgpack::object& from, counter_values& to) {
    if (!IsArray(from, 0) || from.via.array.size % 2 != 0) {
      return Fail(kind::kMalformed, "series");
    }
    const std::size_t points = from.via.array.size / 2;
    if (points > kSeriesPoints) return Fail(kind::kOutOfRange, "series");
    for (std::size_t i = 0; i < points; ++i) {
      series_point& point = to.series.at(kSeriesPoints - points + i);
      const msgpack::object* pair = from.via.array.ptr + 2 * i;
      if (!Integer(pair[0], kMaxCount, "series", point.good) ||
          !Integer(pair[1], kMaxCount, "series", point.bad)) {
        return false;
      }
    }
    return true;
  }
  bool Integer(const msgpack::object& from, std::uint64_t max_value,
               const char* field, std::uint64_t& to) {
    if (from.type != msgpack::type::POSITIVE_INTEGER) {
      return Fail(kind::kMalformed, field);
    }
    if (from.via.u64 > max_value) return Fail(kind::kOutOfRange, field);
    to = from.via.u64;
    return true;
  }
  bool Fail(kind error_kind, const char* field) {
    error_.kind = error_kind;
    error_.field = field;
    return false;
  }

  counters_decode_error error_;
};

}  // namespace

std::string EncodeCounters(const counter_snapshot& snapshot) {
  msgpack::sbuffer buffer;
  packer to(buffer);
  to.pack_array(static_cast<std::uint32_t>(snapshot.size()));
  for (const auto& [key, values] : snapshot) Pack(to, key, values);
  return {buffer.data(), buffer.size()};
}

result<counter_snapshot, counters_decode_error> DecodeCounters(
    std::string_view bytes) {
  counters_decode_error error{.kind = kind::kTooLarge, .field = "snapshot"};
  if (bytes.size() > kMaxCountersBytes) return failure(error);
  const msgpack::unpack_limit bounds(kMaxCounterKeys, 0, kMaxNameBytes, 0, 0,
                                     kMaxDepth);
  error.kind = kind::kMalformed;
  msgpack::object_handle handle;
  try {
    handle =
        msgpack::unpack(bytes.data(), bytes.size(), nullptr, nullptr, bounds);
  } catch (const msgpack::unpack_error&) {
    return failure(error);
  }
  const msgpack::object& keys = handle.get();
  if (!IsArray(keys, 0)) return failure(error);
  counter_snapshot snapshot;
  for (std::size_t i = 0; i < keys.via.array.size; ++i) {
    key_reader reader;
    if (!reader.Read(keys.via.array.ptr[i], snapshot)) {
      error = reader.error();
      error.key = i;
      return failure(error);
    }
  }
  return snapshot;
}

}  // namespace marjoramsill
