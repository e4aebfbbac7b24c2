#include <limits>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "process/membership/peer_codec.h"

namespace marjoramsill {
namespace {

using reason = peer_decode_error::reason;
using object = msgpack::object;

constexpr std::size_t kMaxDepth = 8;
constexpr std::size_t kMaxTextBytes = 128;

/// Stores the first error; after it, readers return empty values.
struct decode_state {
  std::optional<peer_decode_error> error;

  void Fail(reason why, const char* field) {
    if (!error.has_value()) error = peer_decode_error{why, field};
  }
};

/// Reads the elements of one array in field order.
class field_reader {
 public:
  field_reader(decode_state& state, const object& array, const char* name)
      : state_(state) {
    if (array.type == msgpack::type::ARRAY) {
      next_ = array.via.array.ptr;
      left_ = array.via.array.size;
    } else {
      state_.Fail(reason::kWrongType, name);
    }
  }

  const object* Next(msgpack::type::object_type type, const char* field) {
    if (left_ == 0) {
      state_.Fail(reason::kMissingField, field);
      return nullptr;
    }
    const object* found = next_++;
    --left_;
    if (found->type != type) {
      state_.Fail(reason::kWrongType, field);
      return nullptr;
    }
    return found;
  }

  std::uint64_t Number(
      const char* field,
      std::uint64_t limit = std::numeric_limits<std::uint64_t>::max()) {
    const object* found = Next(msgpack::type::POSITIVE_INTEGER, field);
    if (found == nullptr) return 0;
    if (found->via.u64 > limit) state_.Fail(reason::kOutOfRange, field);
    return found->via.u64;
  }

  std::uint32_t Small(const char* field, std::uint32_t limit = 0xffffffffU) {
    return static_cast<std::uint32_t>(Number(field, limit));
  }

  bool Flag(const char* field) {
    const object* found = Next(msgpack::type::BOOLEAN, field);
    return found != nullptr && found->via.boolean;
  }

  std::string Text(const char* field) {
    const object* found = Next(msgpack::type::STR, field);
    if (found == nullptr) return {};
    if (found->via.str.size == 0 || found->via.str.size > kMaxTextBytes) {
      state_.Fail(reason::kOutOfRange, field);
      return {};
    }
    return std::string(found->via.str.ptr, found->via.str.size);
  }

  template <class T, class Read>
  std::vector<T> List(const char* field, Read read) {
    std::vector<T> list;
    const object* found = Next(msgpack::type::ARRAY, field);
    if (found == nullptr) return list;
    if (found->via.array.size > kMaxPeerListLength) {
      state_.Fail(reason::kTooLong, field);
      return list;
    }
    list.reserve(found->via.array.size);
    for (std::uint32_t i = 0; i < found->via.array.size; ++i) {
      if (state_.error.has_value()) return list;
      list.push_back(read(state_, found->via.array.ptr[i]));
    }
    return list;
  }

  /// Reads an array of plain values; `read` takes the next values from it.
  template <class T, class Read>
  std::vector<T> Values(const char* field, Read read) {
    std::vector<T> list;
    const object* found = Next(msgpack::type::ARRAY, field);
    if (found == nullptr) return list;
    if (found->via.array.size > kMaxPeerListLength) {
      state_.Fail(reason::kTooLong, field);
      return list;
    }
    field_reader values(state_, *found, field);
    while (values.left_ > 0 && !state_.error.has_value()) {
      list.push_back(read(values));
    }
    return list;
  }

  bool at_end() const { return left_ == 0; }
  decode_state& state() { return state_; }

 private:
  decode_state& state_;
  const object* next_ = nullptr;
  std::uint32_t left_ = 0;
};

holder_id ReadHolder(field_reader& outer, const char* field) {
  const object* found = outer.Next(msgpack::type::ARRAY, field);
  if (found == nullptr) return {};
  field_reader in(outer.state(), *found, field);
  holder_id holder;
  holder.vm = vm_id(in.Text("vm"));
  holder.incarnation = incarnation_number(in.Number("incarnation"));
  return holder;
}

lease_record ReadRecord(decode_state& state, const object& from) {
  field_reader in(state, from, "record");
  lease_record record;
  record.endpoint.id = endpoint_id(in.Text("endpoint id"));
  record.endpoint.incarnation =
      incarnation_number(in.Number("endpoint incarnation"));
  record.endpoint.address = in.Text("address");
  record.endpoint.domain = failure_domain_id(in.Text("failure domain"));
  record.endpoint.state =
      static_cast<endpoint_state>(in.Small("endpoint state", 1));
  record.endpoint.serves = in.Values<model_id>(
      "serves", [](field_reader& v) { return model_id(v.Text("model")); });
  if (record.endpoint.serves.size() > kMaxServed) {
    state.Fail(reason::kTooLong, "serves");
  }
  record.endpoint.capacity = in.Small("capacity", kMaxCapacity);
  if (record.endpoint.capacity == 0) {
    state.Fail(reason::kOutOfRange, "capacity");
  }
  record.sequence = in.Number("change");
  record.epoch = in.Number("epoch");
  record.silent = in.Flag("silent");
  return record;
}

holder_heartbeat ReadHeartbeat(decode_state& state, const object& from) {
  field_reader in(state, from, "beat");
  holder_heartbeat heartbeat;
  heartbeat.holder = in.Small("holder");
  heartbeat.version = document_version(in.Number("version"));
  heartbeat.summary.sequence = in.Number("summary change");
  heartbeat.summary.digest =
      static_cast<std::uint16_t>(in.Small("summary digest", 0xffff));
  heartbeat.summary.age = std::chrono::milliseconds(in.Small("summary age"));
  heartbeat.summary.overdue = in.Values<std::uint64_t>(
      "overdue", [](field_reader& v) { return v.Number("overdue"); });
  heartbeat.summary.loads = in.Values<lease_load>("loads", [](field_reader& v) {
    lease_load load;
    load.sequence = v.Number("load change");
    load.requests = v.Small("load", kMaxReportedLoad);
    return load;
  });
  return heartbeat;
}

holder_change ReadChange(decode_state& state, const object& from) {
  field_reader in(state, from, "change");
  holder_change change;
  change.holder = ReadHolder(in, "change holder");
  change.previous_sequence = in.Number("after");
  const object* record = in.Next(msgpack::type::ARRAY, "record");
  if (record != nullptr) change.lease = ReadRecord(state, *record);
  return change;
}

domain_digest ReadDigest(decode_state& state, const object& from) {
  field_reader in(state, from, "digest");
  domain_digest digest;
  digest.domain = failure_domain_id(in.Text("digest domain"));
  digest.hash = in.Number("digest hash");
  return digest;
}

holder_position ReadPosition(decode_state& state, const object& from) {
  field_reader in(state, from, "position");
  holder_position position;
  position.holder = ReadHolder(in, "position holder");
  position.sequence = in.Number("position change");
  position.silent_s = in.Small("position silence");
  return position;
}

record_request ReadRequest(decode_state& state, const object& from) {
  field_reader in(state, from, "record request");
  record_request request;
  request.holder = in.Small("requested holder");
  request.after = in.Number("requested after");
  return request;
}

record_list ReadRecordList(decode_state& state, const object& from) {
  field_reader in(state, from, "record list");
  record_list list;
  list.holder = ReadHolder(in, "record holder");
  list.sequence = in.Number("list change");
  list.after = in.Number("list after");
  list.complete = in.Flag("list complete");
  list.records = in.List<lease_record>("records", ReadRecord);
  return list;
}

peer_message ReadMessage(decode_state& state, const object& from) {
  field_reader in(state, from, "message");
  peer_message message;
  message.from = ReadHolder(in, "from");
  message.sequence = in.Number("sequence");
  message.timestamp_ms = in.Number("stamp");
  message.echo_incarnation = incarnation_number(in.Number("echo incarnation"));
  message.echo_ms = in.Number("echo");
  message.held_ms = in.Number("held");
  message.heartbeats = in.List<holder_heartbeat>("beats", ReadHeartbeat);
  // The encoder omits trailing empty lists.
  if (in.at_end()) return message;
  message.digests = in.List<domain_digest>("digests", ReadDigest);
  if (in.at_end()) return message;
  message.changes = in.List<holder_change>("changes", ReadChange);
  message.position_requests = in.Values<failure_domain_id>(
      "wanted positions",
      [](field_reader& v) { return failure_domain_id(v.Text("domain")); });
  message.positions = in.List<holder_position>("positions", ReadPosition);
  message.record_requests =
      in.List<record_request>("wanted records", ReadRequest);
  message.records = in.List<record_list>("record lists", ReadRecordList);
  return message;
}

}  // namespace

result<peer_message, peer_decode_error> DecodePeerMessage(
    std::string_view bytes) {
  if (bytes.size() > kMaxPeerMessageBytes) {
    return failure(peer_decode_error{reason::kTooLarge, ""});
  }
  const msgpack::unpack_limit limit(kMaxPeerListLength * 2, 0,
                                    kMaxTextBytes + 1, 0, 0, kMaxDepth);
  // msgpack reports malformed input by exceptions, which are converted here.
  try {
    std::size_t offset = 0;
    const msgpack::object_handle handle = msgpack::unpack(
        bytes.data(), bytes.size(), offset, nullptr, nullptr, limit);
    if (offset != bytes.size()) {
      return failure(peer_decode_error{reason::kDamaged, ""});
    }
    decode_state state;
    peer_message message = ReadMessage(state, handle.get());
    if (state.error.has_value()) return failure(*state.error);
    return message;
  } catch (const msgpack::depth_size_overflow&) {
    return failure(peer_decode_error{reason::kTooDeep, ""});
  } catch (const msgpack::size_overflow&) {
    return failure(peer_decode_error{reason::kTooLong, ""});
  } catch (const msgpack::unpack_error&) {
    return failure(peer_decode_error{reason::kDamaged, ""});
  }
}

}  // namespace marjoramsill
