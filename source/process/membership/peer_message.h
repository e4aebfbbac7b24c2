#ifndef MARJORAMSILL_PROCESS_MEMBERSHIP_PEER_MESSAGE_H_
#define MARJORAMSILL_PROCESS_MEMBERSHIP_PEER_MESSAGE_H_

#include <cstdint>
#include <vector>

#include "process/membership/lease_record.h"
#include "types/ids.h"

namespace marjoramsill {

/// Hash of a holder_id that identifies the holder in heartbeats, to save bytes.
using holder_ref = std::uint32_t;

/// Liveness of one holder and summary of its leases, sent by the holder itself
/// or relayed by another VM.
struct holder_heartbeat {
  /// 0 means the sender of the message.
  holder_ref holder = 0;
  /// Document version in force on the holder.
  document_version version;
  lease_summary summary;

  friend bool operator==(const holder_heartbeat&,
                         const holder_heartbeat&) = default;
};

/// A change of one of a holder's lease records.
struct holder_change {
  holder_id holder;
  /// Sequence number of the holder's previous change that is still in force.
  /// Changes in between have been superseded by later ones.
  std::uint64_t previous_sequence = 0;
  lease_record lease;

  friend bool operator==(const holder_change&, const holder_change&) = default;
};

/// Last change of a holder that the sender has applied.
struct holder_position {
  holder_id holder;
  /// Sequence number of that change.
  std::uint64_t sequence = 0;
  /// Seconds since the sender's latest evidence that the holder runs.
  std::uint32_t silent_s = 0;

  friend bool operator==(const holder_position&,
                         const holder_position&) = default;
};

/// Requests the records of a holder with sequence numbers above `after`.
struct record_request {
  holder_ref holder = 0;
  std::uint64_t after = 0;

  friend bool operator==(const record_request&,
                         const record_request&) = default;
};

/// Response to a record_request: the records with sequence numbers above
/// `after` and up to `sequence`, in this order. A complete list with `after` =
/// 0 contains all records in force, so the receiver removes the others.
struct record_list {
  holder_id holder;
  std::uint64_t sequence = 0;
  std::uint64_t after = 0;
  bool complete = false;
  std::vector<lease_record> records;

  friend bool operator==(const record_list&, const record_list&) = default;
};

/// Digest of the positions of all known holders of one failure domain.
struct domain_digest {
  failure_domain_id domain;
  std::uint64_t hash = 0;

  friend bool operator==(const domain_digest&, const domain_digest&) = default;
};

/// Body of POST /peer/heartbeat and of its response.
struct peer_message {
  holder_id from;
  std::uint64_t sequence = 0;
  /// Sender's steady clock, in milliseconds.
  std::uint64_t timestamp_ms = 0;
  /// Echo of the latest timestamp received from the receiver: the receiver's
  /// incarnation, the timestamp, and the time since the sender received
  /// it. From these the receiver knows that, by its own clock, this message was
  /// sent no earlier than echo_ms + held_ms, so it doesn't mistake evidence in
  /// a delayed message for recent evidence.
  incarnation_number echo_incarnation;
  std::uint64_t echo_ms = 0;
  std::uint64_t held_ms = 0;
  /// The sender's own heartbeat comes first.
  std::vector<holder_heartbeat> heartbeats;
  std::vector<holder_change> changes;
  std::vector<domain_digest> digests;
  /// Failure domains whose positions the sender requests.
  std::vector<failure_domain_id> position_requests;
  std::vector<holder_position> positions;
  std::vector<record_request> record_requests;
  std::vector<record_list> records;

  friend bool operator==(const peer_message&, const peer_message&) = default;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_MEMBERSHIP_PEER_MESSAGE_H_
