#ifndef MARJORAMSILL_PROCESS_CLAIMS_CLAIM_TABLE_H_
#define MARJORAMSILL_PROCESS_CLAIMS_CLAIM_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>

#include "process/claims/claim_key.h"
#include "process/claims/claim_owner.h"
#include "process/claims/claim_response.h"
#include "process/claims/claim_state.h"
#include "process/claims/claim_table_limits.h"
#include "process/claims/claim_time.h"
#include "process/claims/content_hash.h"
#include "process/claims/stored_response.h"

namespace marjoramsill {

/// Deterministic state machine of one claim group: the same commands in the
/// same order produce the same state and responses on every member. Not
/// thread-safe; guarded by the lock of its group.
class claim_table {
 public:
  explicit claim_table(claim_table_limits limits = {});

  /// Decodes and applies one committed command. A command that cannot be
  /// decoded changes nothing.
  result<claim_response, claim_decode_error> Apply(std::string_view bytes);
  claim_response Apply(const claim_command& command);

  /// Serializes the entire state as msgpack. Equal states yield equal bytes.
  std::string Snapshot() const;
  /// Replaces the state. On an error the state is unchanged.
  result<void, claim_decode_error> Restore(std::string_view bytes);

  std::size_t size() const { return records_.size(); }
  std::uint64_t body_bytes() const { return body_bytes_; }
  /// Latest time of all applied commands.
  claim_time time() const { return time_; }

 private:
  struct record {
    content_hash request_hash;
    claim_owner owner;
    claim_time deadline;
    claim_time expires;
    claim_state state = claim_state::kClaimed;
    std::uint32_t body_bytes = 0;
    /// kFinished: encoded stored_response.
    std::string response;
  };
  struct expiry {
    claim_time at;
    const claim_key* key;
    bool operator<(const expiry& other) const;
  };
  using record_map = std::unordered_map<claim_key, record>;
  friend struct claim_snapshot_codec;

  record* Find(const claim_key& key);
  void PutRecord(const claim_command& command, claim_state state);
  void SetExpiry(const claim_key& key, record& entry, claim_time at);
  void Erase(record_map::iterator position);
  void StoreResponse(record& entry, const stored_response& response);
  void MarkLostOwnerUnknown(record& entry, const claim_command& command);
  void FillFromRecord(const record& entry, const content_hash& hash,
                      claim_response& output) const;

  void ApplyClaim(const claim_command& command, claim_response& output);
  void ApplyFinish(const claim_command& command, claim_response& output);
  void ApplyMarkUnknown(const claim_command& command, claim_response& output);
  void ApplyRelease(const claim_command& command, claim_response& output);
  void ApplyLookUp(const claim_command& command, claim_response& output);
  void ApplyExpire(const claim_command& command, claim_response& output);

  claim_table_limits limits_;
  claim_time time_;
  std::uint64_t body_bytes_ = 0;
  record_map records_;
  std::set<expiry> expiries_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_CLAIMS_CLAIM_TABLE_H_
