#ifndef MARJORAMSILL_PROCESS_MEMBERSHIP_ENDPOINT_REGISTRY_H_
#define MARJORAMSILL_PROCESS_MEMBERSHIP_ENDPOINT_REGISTRY_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "process/membership/announcement_schedule.h"
#include "process/membership/byte_budget.h"
#include "process/membership/circuit_breaker.h"
#include "process/membership/endpoint_announcement.h"
#include "process/membership/endpoint_vitals.h"
#include "process/membership/flap_damper.h"
#include "process/membership/lease_record.h"
#include "types/ids.h"
#include "types/result.h"
#include "types/steady_time.h"

namespace marjoramsill {

struct endpoint_registry_settings {
  holder_id self;
  announcement_schedule_settings schedule;
  /// Three announcements missed.
  std::chrono::milliseconds lease{3000};
  std::chrono::milliseconds evidence_limit{2500};
  /// Time between two events that counts as a frozen process.
  std::chrono::milliseconds freeze_gap{500};
  /// Doubles with each probe without an answer up to the second value, so
  /// that endpoints behind a cut don't use up the budget.
  std::chrono::milliseconds probe_interval{500};
  std::chrono::milliseconds longest_probe_interval{8000};
  /// Silent records are kept this long, so that a late message cannot
  /// reintroduce the endpoint.
  std::chrono::milliseconds forget_silent{600000};
  std::uint32_t probe_bytes = 320;
  std::int64_t probe_bytes_per_second = 640;
  std::size_t max_endpoints = 8192;
  /// Leases with older evidence than this are not vouched for.
  std::chrono::milliseconds longest_vouch{1400};
  std::size_t loads_per_vouch = 4;
  circuit_breaker_settings breaker;
  flap_damper_settings damper;
};

struct announcement_reply {
  std::chrono::milliseconds lease;
  std::chrono::milliseconds interval;
};

enum class announcement_refusal { kOldIncarnation, kTooManyEndpoints };

/// GET http://address/health, whose outcome goes to OnProbeResult().
struct probe_request {
  endpoint_id id;
  incarnation life;
  std::string address;
};

struct probe_result {
  incarnation life;
  bool healthy = false;
  steady_time sent_at;
  std::optional<endpoint_state> state;
  std::optional<endpoint_load> load;
};

/// Outcome of one attempt, from the response head or the failure.
struct attempt_report {
  incarnation life;
  bool succeeded = false;
  steady_time sent_at;
  std::optional<endpoint_state> state;
  std::optional<endpoint_load> load;
};

enum class dispatch_verdict : std::uint8_t {
  kUsable,
  kNeedsProbe,
  kUnknown,
  kLeaving,
  kHeldDown,
  kCircuitOpen
};

/// One endpoint as the choice of endpoints needs it.
struct endpoint_status {
  endpoint_announcement endpoint;
  bool silent = false;
  bool admitted = false;
  /// New work may be sent until this time unless evidence is renewed.
  steady_time fresh_until;
  steady_time load_at;
};

/// All endpoints known to this VM: leases that it holds itself and records of
/// leases that its peers hold. Not synchronised; the membership lock guards it.
class endpoint_registry {
 public:
  explicit endpoint_registry(endpoint_registry_settings settings);

  result<announcement_reply, announcement_refusal> OnAnnouncement(
      const endpoint_announcement& said, steady_time now);
  void OnProbeResult(const endpoint_id& id, const probe_result& probe,
                     steady_time now);
  void OnAttempt(const endpoint_id& id, const attempt_report& attempt,
                 steady_time now);

  /// Whether new work may be sent now. kUsable on an open circuit starts its
  /// trial; kNeedsProbe queues a probe.
  dispatch_verdict Dispatch(const endpoint_id& id, steady_time now);
  /// As Dispatch(), without any effect.
  dispatch_verdict Inspect(const endpoint_id& id, steady_time now) const;

  /// Expires leases and returns the probes to send; call every 100 ms.
  std::vector<probe_request> Tick(steady_time now);

  /// Applies a record of another holder. Returns false when it is older than
  /// what is known.
  bool ApplyRecord(const holder_id& holder, const lease_record& record,
                   steady_time now);
  /// Removes the holder's records that are not listed in `kept`.
  void RetainRecords(const holder_id& holder,
                     const std::set<endpoint_id>& kept);
  /// Records evidence dated `as_of` (this VM's clock) for the holder's leases.
  /// `vouch.change` must equal the change that the local copy has reached.
  /// Returns false, without effect, when the leases differ all the same.
  bool ApplyVouch(const holder_id& holder, const lease_vouch& vouch,
                  steady_time as_of, steady_time now);
  /// Forgets a life of a holder that has been replaced by a later one.
  void DropHolder(const holder_id& holder);

  /// Records of one holder with a change number above `after`, by change.
  std::vector<lease_record> RecordsOf(const holder_id& holder,
                                      std::uint64_t after) const;
  /// This VM's own vouch for its leases.
  lease_vouch MakeVouch(steady_time now);
  std::uint64_t own_change() const { return own_change_; }

  std::optional<endpoint_status> Find(const endpoint_id& id) const;
  /// Calls the hook for each endpoint that is neither silent nor leaving, by
  /// id, without copying its announcement.
  void VisitServing(
      const std::function<void(const endpoint_announcement&,
                               const endpoint_vitals&)>& visit) const;
  /// Endpoints of a model, silent and leaving ones included, by id.
  std::vector<endpoint_status> AllOfModel(const model_id& model) const;
  /// Endpoints of a model that are neither silent nor leaving, by id.
  std::vector<endpoint_status> ForModel(const model_id& model) const;
  /// Incremented whenever a placement built from ForModel() may change.
  std::uint64_t view_number() const { return view_number_; }
  std::size_t size() const { return entries_.size(); }
  std::uint64_t probe_bytes_sent() const { return probe_bytes_sent_; }
  /// Digest of ids, incarnations and states; equal on converged registries.
  std::uint64_t Fingerprint() const;

 private:
  struct entry {
    lease_record record;
    holder_id holder;
    /// Record of another holder that lost against `record`. It comes into
    /// force when the holder of `record` is forgotten.
    std::optional<std::pair<holder_id, lease_record>> runner_up;
    std::optional<steady_time> evidence;
    steady_time last_heard{};
    announcement_schedule schedule;
    steady_time load_at{};
    steady_time last_probe{};
    bool probe_wanted = false;
    /// Probes without an answer since the last evidence.
    std::uint32_t unanswered = 0;
    steady_time silent_since{};
    circuit_breaker breaker;
    flap_damper damper;
  };
  using entry_map = std::map<endpoint_id, entry>;

  void Observe(steady_time now);
  entry& Add(const endpoint_announcement& said);
  void Restart(entry& known, const endpoint_announcement& said,
               steady_time now);
  void Hold(entry& known, steady_time now);
  void Write(entry& known);
  void SetHolder(entry& known, const holder_id& holder);
  void Learn(entry& known, std::optional<endpoint_state> state,
             std::optional<endpoint_load> load, steady_time sent_at,
             steady_time now);
  void Expire(entry& known, steady_time now);
  /// Removes the entry or puts its runner-up in force; returns the next one.
  entry_map::iterator Remove(entry_map::iterator at);
  std::vector<entry*> ProbesDue(steady_time now);
  void AddLoads(const std::set<endpoint_id>& held, lease_vouch& vouch);
  std::uint16_t LeaseDigest(const std::set<endpoint_id>& held) const;
  endpoint_vitals VitalsOf(const entry& known) const;
  bool IsOwn(const entry& known) const;
  bool IsFresh(const entry& known, steady_time now) const;
  bool IsNewer(const entry& known, const holder_id& holder,
               const lease_record& record) const;
  dispatch_verdict Judge(const entry& known, steady_time now) const;

  endpoint_registry_settings settings_;
  entry_map entries_;
  std::map<holder_id, std::set<endpoint_id>> held_;
  byte_budget probe_budget_;
  std::optional<steady_time> last_event_;
  std::uint64_t own_change_ = 0;
  std::uint64_t view_number_ = 0;
  std::uint64_t probe_bytes_sent_ = 0;
  std::uint64_t vouches_made_ = 0;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_MEMBERSHIP_ENDPOINT_REGISTRY_H_
