#ifndef MARJORAMSILL_PROCESS_MEMBERSHIP_PEER_MESSAGE_H_
#define MARJORAMSILL_PROCESS_MEMBERSHIP_PEER_MESSAGE_H_

#include <cstdint>
#include <vector>

#include "process/membership/lease_record.h"
#include "types/ids.h"

namespace marjoramsill {

/// Hash of a holder_id; stands for it in beats, where bytes count.
using holder_ref = std::uint32_t;

/// A holder's vouch, from the holder itself or relayed.
struct peer_beat {
  /// 0 stands for the sender.
  holder_ref holder = 0;
  document_version version;
  lease_vouch vouch;

  friend bool operator==(const peer_beat&, const peer_beat&) = default;
};

struct holder_change {
  holder_id holder;
  /// The holder's change before this one. Changes between the two have been
  /// overwritten by later ones.
  std::uint64_t after = 0;
  lease_record record;

  friend bool operator==(const holder_change&, const holder_change&) = default;
};

/// How far the sender has followed a holder's changes.
struct holder_position {
  holder_id holder;
  std::uint64_t change = 0;
  /// Seconds since the sender had evidence that the holder runs.
  std::uint32_t silent_s = 0;

  friend bool operator==(const holder_position&,
                         const holder_position&) = default;
};

/// Asks for the records of a holder whose change number is above `after`.
struct record_request {
  holder_ref holder = 0;
  std::uint64_t after = 0;

  friend bool operator==(const record_request&,
                         const record_request&) = default;
};

/// Answer to a record_request: records above `after`, by change, up to
/// `change`. A list after 0 that ends complete holds all records in force, so
/// that the receiver removes the others.
struct record_list {
  holder_id holder;
  std::uint64_t change = 0;
  std::uint64_t after = 0;
  bool complete = false;
  std::vector<lease_record> records;

  friend bool operator==(const record_list&, const record_list&) = default;
};

/// Digest of the positions of all live holders of one failure domain.
struct domain_digest {
  failure_domain_id domain;
  std::uint64_t hash = 0;

  friend bool operator==(const domain_digest&, const domain_digest&) = default;
};

/// Body of a request and of its response: POST /peer/heartbeat.
struct peer_message {
  holder_id from;
  std::uint64_t sequence = 0;
  /// Sender's steady clock, in milliseconds.
  std::uint64_t stamp_ms = 0;
  /// The receiver's latest stamp that the sender has seen, the receiver's
  /// incarnation then, and how long the sender has held it. The receiver
  /// learns that this message was sent no earlier than stamp plus held by its
  /// own clock, so that evidence in a delayed message is not taken for fresh.
  incarnation echo_life;
  std::uint64_t echo_ms = 0;
  std::uint64_t held_ms = 0;
  /// The sender's own beat comes first.
  std::vector<peer_beat> beats;
  std::vector<holder_change> changes;
  std::vector<domain_digest> digests;
  /// Failure domains whose positions the sender asks for.
  std::vector<failure_domain_id> wanted_positions;
  std::vector<holder_position> positions;
  std::vector<record_request> wanted_records;
  std::vector<record_list> records;

  friend bool operator==(const peer_message&, const peer_message&) = default;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_MEMBERSHIP_PEER_MESSAGE_H_
