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
#include "process/membership/endpoint_availability.h"
#include "process/membership/flap_damper.h"
#include "process/membership/lease_record.h"
#include "types/ids.h"
#include "types/result.h"
#include "types/steady_time.h"

namespace marjoramsill {

struct endpoint_registry_settings {
  /// This VM as a holder of leases.
  holder_id self;
  announcement_schedule_settings schedule;
  /// An endpoint's lease expires after this time without an announcement
  /// (three missed announcements).
  std::chrono::milliseconds lease_duration{3000};
  /// Age up to which liveness evidence allows new work to be sent.
  std::chrono::milliseconds evidence_limit{2500};
  /// A longer time between two events means that the process was frozen.
  std::chrono::milliseconds freeze_gap{500};
  /// Time between probes of one endpoint. It doubles with each probe without
  /// a response up to max_probe_interval, so that endpoints behind a network
  /// partition don't use up the budget.
  std::chrono::milliseconds probe_interval{500};
  std::chrono::milliseconds max_probe_interval{8000};
  /// Records of silent endpoints are kept this long, so that a late message
  /// can't add the endpoint again.
  std::chrono::milliseconds remove_silent_after{600000};
  /// Bytes counted for one probe.
  std::uint32_t probe_bytes = 320;
  std::int64_t probe_bytes_per_second = 640;
  std::size_t max_endpoints = 8192;
  /// A lease summary lists leases with older evidence as overdue.
  std::chrono::milliseconds max_evidence_age{1400};
  /// Load reports in one lease summary.
  std::size_t loads_per_summary = 4;
  circuit_breaker_settings breaker;
  flap_damper_settings damper;
};

/// Response to an accepted announcement.
struct announcement_response {
  /// Duration of the endpoint's lease, which each announcement renews.
  std::chrono::milliseconds lease;
  /// Interval at which the endpoint must announce itself.
  std::chrono::milliseconds interval;
};

/// Why an announcement is refused.
enum class announcement_refusal { kOldIncarnation, kTooManyEndpoints };

/// Request for GET http://address/health. The caller passes its outcome to
/// OnProbeResult().
struct probe_request {
  endpoint_id id;
  incarnation_number incarnation;
  std::string address;
};

/// Outcome of a health probe.
struct probe_result {
  incarnation_number incarnation;
  bool healthy = false;
  steady_time sent_at;
  std::optional<endpoint_state> state;
  std::optional<endpoint_load> load;
};

/// Outcome of one attempt to run a request on an endpoint, taken from the
/// response headers or the failure.
struct attempt_report {
  incarnation_number incarnation;
  bool succeeded = false;
  steady_time sent_at;
  std::optional<endpoint_state> state;
  std::optional<endpoint_load> load;
  /// Time for which the endpoint wants no request from this VM.
  std::optional<std::chrono::milliseconds> pause = std::nullopt;
};

/// Whether new work may be sent to an endpoint, or why not.
enum class dispatch_decision : std::uint8_t {
  kUsable,
  /// The liveness evidence is older than evidence_limit.
  kNeedsProbe,
  /// Not registered, or silent.
  kUnknown,
  kLeaving,
  kHeldDown,
  kCircuitOpen,
  /// The endpoint asked this VM for a pause.
  kPaused
};

/// State of one endpoint, as needed to select endpoints and to report status.
struct endpoint_status {
  endpoint_announcement endpoint;
  /// The lease has expired.
  bool silent = false;
  /// False while the endpoint is held down or its circuit is open.
  bool admitted = false;
  /// New work may be sent until this time; newer liveness evidence extends it.
  steady_time fresh_until;
  /// Time of the latest load report.
  steady_time load_at;
};

/// Registry of all endpoints known to this VM. An endpoint that announces
/// itself to a VM gets a lease there: it counts as registered until the lease
/// expires, and the VM is the holder of the lease. The registry contains the
/// leases that this VM holds and copies of the lease records of its peers. Not
/// thread-safe; guarded by the membership lock.
class endpoint_registry {
 public:
  explicit endpoint_registry(endpoint_registry_settings settings);

  /// Registers the endpoint or renews its lease, with this VM as the holder.
  result<announcement_response, announcement_refusal> OnAnnouncement(
      const endpoint_announcement& announcement, steady_time now);
  /// Applies the result of a probe. Results for another incarnation of
  /// the endpoint are ignored.
  void OnProbeResult(const endpoint_id& id, const probe_result& probe,
                     steady_time now);
  /// Applies the outcome of an attempt to evidence, state, load and circuit
  /// breaker. Reports on another incarnation of the endpoint are
  /// ignored.
  void OnAttempt(const endpoint_id& id, const attempt_report& attempt,
                 steady_time now);

  /// Decides whether new work may be sent now. kUsable on an open circuit
  /// starts its trial request; kNeedsProbe queues a probe.
  dispatch_decision Dispatch(const endpoint_id& id, steady_time now);
  /// Same as Dispatch(), but without side effects.
  dispatch_decision Inspect(const endpoint_id& id, steady_time now) const;

  /// Expires leases, removes old silent records and returns the probes to send;
  /// to be called every 100 ms.
  std::vector<probe_request> Tick(steady_time now);

  /// Applies a lease record of another holder. Returns false if it is not newer
  /// than the known record or if the registry is full.
  bool ApplyRecord(const holder_id& holder, const lease_record& record,
                   steady_time now);
  /// Removes the holder's records except those of the endpoints in `kept`.
  void RetainRecords(const holder_id& holder,
                     const std::set<endpoint_id>& kept);
  /// Records liveness evidence as of `as_of` (this VM's clock) for the holder's
  /// leases. `summary.sequence` must be that of the last change applied to
  /// the local copy. Returns false without effect if the digests of the leases
  /// differ nevertheless.
  bool ApplySummary(const holder_id& holder, const lease_summary& summary,
                    steady_time as_of, steady_time now);
  /// Removes all records of a holder that no longer runs.
  void RemoveHolder(const holder_id& holder);

  /// Records of one holder with a sequence number above `after`, ordered by
  /// sequence number.
  std::vector<lease_record> RecordsOf(const holder_id& holder,
                                      std::uint64_t after) const;
  /// Builds the summary of this VM's own leases. Each call includes the loads
  /// of the next loads_per_summary leases.
  lease_summary BuildSummary(steady_time now);
  /// Sequence number of the latest change of this VM's own leases.
  std::uint64_t own_sequence() const { return own_sequence_; }

  /// Status of one endpoint; empty if it is not registered.
  std::optional<endpoint_status> Find(const endpoint_id& id) const;
  /// Calls `visit` for each endpoint that is neither silent nor leaving,
  /// ordered by id, without copying its announcement.
  void VisitServing(
      const std::function<void(const endpoint_announcement&,
                               const endpoint_availability&)>& visit) const;
  /// Endpoints of a model, including silent and leaving ones, ordered by id.
  std::vector<endpoint_status> AllOfModel(const model_id& model) const;
  /// Endpoints of a model that are neither silent nor leaving, ordered by id.
  std::vector<endpoint_status> ForModel(const model_id& model) const;
  /// Incremented whenever a placement built from ForModel() may change.
  std::uint64_t view_number() const { return view_number_; }
  std::size_t size() const { return entries_.size(); }
  std::uint64_t probe_bytes_sent() const { return probe_bytes_sent_; }
  /// Hash of ids, incarnations and states; equal on converged registries.
  std::uint64_t Fingerprint() const;

 private:
  struct registry_entry {
    lease_record record;
    holder_id holder;
    /// Record of another holder with lower precedence than `record`. It
    /// replaces `record` when the holder of `record` is removed.
    std::optional<std::pair<holder_id, lease_record>> fallback;
    /// Time of the latest evidence that the endpoint runs.
    std::optional<steady_time> evidence_at;
    /// Latest announcement received by this VM.
    steady_time last_announcement_at{};
    announcement_schedule schedule;
    steady_time load_at{};
    steady_time last_probe{};
    bool probe_requested = false;
    /// Probes without a response since the latest evidence.
    std::uint32_t probes_without_response = 0;
    steady_time silent_since{};
    steady_time paused_until{};
    circuit_breaker breaker;
    flap_damper damper;
  };
  using entry_map = std::map<endpoint_id, registry_entry>;

  /// Discards all evidence if the process was frozen since the last event.
  void DetectFreeze(steady_time now);
  registry_entry& Add(const endpoint_announcement& announcement);
  void Restart(registry_entry& entry, const endpoint_announcement& announcement,
               steady_time now);
  /// Makes this VM the holder of the endpoint's lease.
  void AcquireLease(registry_entry& entry, steady_time now);
  /// Gives the record the next sequence number of this VM, so that it is sent
  /// to the peers.
  void AssignSequence(registry_entry& entry);
  void SetHolder(registry_entry& entry, const holder_id& holder);
  /// Records evidence, state and load from a response of the endpoint.
  void ApplyResponse(registry_entry& entry, std::optional<endpoint_state> state,
                     std::optional<endpoint_load> load, steady_time sent_at,
                     steady_time now);
  void Expire(registry_entry& entry, steady_time now);
  /// Removes the entry, or replaces its record by the fallback; returns the
  /// iterator to the next entry.
  entry_map::iterator Remove(entry_map::iterator at);
  std::vector<registry_entry*> ProbesDue(steady_time now);
  void AddLoads(const std::set<endpoint_id>& leases, lease_summary& summary);
  std::uint16_t LeaseDigest(const std::set<endpoint_id>& leases) const;
  endpoint_availability AvailabilityOf(const registry_entry& entry) const;
  bool IsOwn(const registry_entry& entry) const;
  bool IsFresh(const registry_entry& entry, steady_time now) const;
  bool IsNewer(const registry_entry& entry, const holder_id& holder,
               const lease_record& record) const;
  dispatch_decision Evaluate(const registry_entry& entry,
                             steady_time now) const;

  endpoint_registry_settings settings_;
  entry_map entries_;
  std::map<holder_id, std::set<endpoint_id>> leases_by_holder_;
  byte_budget probe_budget_;
  std::optional<steady_time> last_event_at_;
  std::uint64_t own_sequence_ = 0;
  std::uint64_t view_number_ = 0;
  std::uint64_t probe_bytes_sent_ = 0;
  std::uint64_t summaries_built_ = 0;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_MEMBERSHIP_ENDPOINT_REGISTRY_H_
