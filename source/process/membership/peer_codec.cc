#include "process/membership/peer_codec.h"

#include <msgpack.hpp>
#include <utility>

namespace marjoramsill {
namespace {

using packer = msgpack::packer<msgpack::sbuffer>;

template <class T, class Each>
void PackList(packer& out, const std::vector<T>& list, Each each) {
  out.pack_array(static_cast<std::uint32_t>(list.size()));
  for (const T& item : list) each(out, item);
}

void PackHolder(packer& out, const holder_id& holder) {
  out.pack_array(2);
  out.pack(holder.vm.value());
  out.pack(holder.incarnation.value());
}

void PackRecord(packer& out, const lease_record& record) {
  const endpoint_announcement& endpoint = record.endpoint;
  out.pack_array(10);
  out.pack(endpoint.id.value());
  out.pack(endpoint.incarnation.value());
  out.pack(endpoint.address);
  out.pack(endpoint.domain.value());
  out.pack(static_cast<std::uint8_t>(endpoint.state));
  PackList(out, endpoint.serves,
           [](packer& to, const model_id& model) { to.pack(model.value()); });
  out.pack(endpoint.capacity);
  out.pack(record.sequence);
  out.pack(record.epoch);
  out.pack(record.silent);
}

void PackHeartbeat(packer& out, const holder_heartbeat& heartbeat) {
  out.pack_array(7);
  out.pack(heartbeat.holder);
  out.pack(heartbeat.version.value());
  out.pack(heartbeat.summary.sequence);
  out.pack(heartbeat.summary.digest);
  out.pack(static_cast<std::uint64_t>(heartbeat.summary.age.count()));
  PackList(out, heartbeat.summary.overdue,
           [](packer& to, std::uint64_t number) { to.pack(number); });
  // A flat array of pairs saves one byte per load.
  out.pack_array(
      static_cast<std::uint32_t>(2 * heartbeat.summary.loads.size()));
  for (const lease_load& load : heartbeat.summary.loads) {
    out.pack(load.sequence);
    out.pack(load.requests);
  }
}

void PackChange(packer& out, const holder_change& change) {
  out.pack_array(3);
  PackHolder(out, change.holder);
  out.pack(change.previous_sequence);
  PackRecord(out, change.lease);
}

void PackDigest(packer& out, const domain_digest& digest) {
  out.pack_array(2);
  out.pack(digest.domain.value());
  out.pack(digest.hash);
}

void PackPosition(packer& out, const holder_position& position) {
  out.pack_array(3);
  PackHolder(out, position.holder);
  out.pack(position.sequence);
  out.pack(position.silent_s);
}

void PackRequest(packer& out, const record_request& request) {
  out.pack_array(2);
  out.pack(request.holder);
  out.pack(request.after);
}

void PackRecordList(packer& out, const record_list& list) {
  out.pack_array(5);
  PackHolder(out, list.holder);
  out.pack(list.sequence);
  out.pack(list.after);
  out.pack(list.complete);
  PackList(out, list.records, PackRecord);
}

constexpr std::uint32_t kFieldsToHeartbeats = 7;
constexpr std::uint32_t kFieldsToDigests = 8;
constexpr std::uint32_t kAllFields = 13;

// Trailing empty lists are omitted: most messages end after the heartbeats or
// the digests.
std::uint32_t FieldsToSend(const peer_message& message) {
  if (!message.changes.empty() || !message.position_requests.empty() ||
      !message.positions.empty() || !message.record_requests.empty() ||
      !message.records.empty()) {
    return kAllFields;
  }
  return message.digests.empty() ? kFieldsToHeartbeats : kFieldsToDigests;
}

void PackUpdates(packer& out, const peer_message& message) {
  PackList(out, message.changes, PackChange);
  PackList(out, message.position_requests,
           [](packer& to, const failure_domain_id& domain) {
             to.pack(domain.value());
           });
  PackList(out, message.positions, PackPosition);
  PackList(out, message.record_requests, PackRequest);
  PackList(out, message.records, PackRecordList);
}

}  // namespace

std::string EncodePeerMessage(const peer_message& message) {
  msgpack::sbuffer buffer;
  packer out(buffer);
  const std::uint32_t fields = FieldsToSend(message);
  out.pack_array(fields);
  PackHolder(out, message.from);
  out.pack(message.sequence);
  out.pack(message.timestamp_ms);
  out.pack(message.echo_incarnation.value());
  out.pack(message.echo_ms);
  out.pack(message.held_ms);
  PackList(out, message.heartbeats, PackHeartbeat);
  if (fields > kFieldsToHeartbeats) PackList(out, message.digests, PackDigest);
  if (fields > kFieldsToDigests) PackUpdates(out, message);
  return std::string(buffer.data(), buffer.size());
}

std::size_t EncodedSize(const lease_record& record) {
  msgpack::sbuffer buffer;
  packer out(buffer);
  PackRecord(out, record);
  return buffer.size();
}

std::size_t EncodedSize(const holder_change& change) {
  msgpack::sbuffer buffer;
  packer out(buffer);
  PackChange(out, change);
  return buffer.size();
}

}  // namespace marjoramsill
