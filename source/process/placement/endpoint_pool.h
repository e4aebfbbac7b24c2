#ifndef MARJORAMSILL_PROCESS_PLACEMENT_ENDPOINT_POOL_H_
#define MARJORAMSILL_PROCESS_PLACEMENT_ENDPOINT_POOL_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "process/directory/shared_load.h"
#include "process/placement/duration_baseline.h"
#include "process/placement/endpoint_estimate.h"
#include "process/placement/endpoint_terms_table.h"
#include "process/placement/event_rate.h"
#include "process/placement/full_pool.h"
#include "process/placement/load_bound.h"
#include "process/placement/placement_choice.h"
#include "process/placement/placement_limits.h"
#include "process/placement/placement_settings.h"
#include "process/placement/pool_reach.h"
#include "process/placement/request_demand.h"
#include "process/placement/session_detector.h"
#include "process/placement/smoothed_value.h"
#include "process/placement/warm_up_limit.h"
#include "process/placement/work_sample.h"
#include "types/ids.h"
#include "types/random_source.h"
#include "types/steady_time.h"
#include "version/routing/warm_up_spec.h"

namespace marjoramsill {

/// The endpoints of one pool as an entry VM knows them. Chooses among them by
/// the estimated time to the first token, cached prefixes, load, failures and
/// failure domain.
class endpoint_pool {
 public:
  /// `terms`: those of all endpoints; null: the pool has its own.
  endpoint_pool(placement_settings settings, random_source random,
                std::shared_ptr<endpoint_terms_table> terms = nullptr);

  /// Sets how many tokens of prompt prefixes each endpoint can cache.
  void SetCacheCapacity(token_count capacity);

  /// Sets this entry VM's place in the fleet, by which limits are divided.
  void SetPosition(const fleet_position& position) { position_ = position; }

  /// Sets the limit of cold endpoints, if the pool has one.
  void SetWarmUp(const std::optional<warm_up_spec>& spec);
  /// Endpoints of this failure domain count as cold until then.
  void AssumeCold(const failure_domain_id& domain, steady_time until);
  /// Without contact to a control process, nothing shows that an endpoint whose
  /// connection failed has not started again, until it would be warm.
  void SetInContact(bool in_contact) { in_contact_ = in_contact; }
  /// Endpoints that serve and count as cold.
  std::size_t CountCold(steady_time now) const;

  /// Adds or updates an endpoint. An ended one stays until Sweep() finds that
  /// its calls have ended.
  void Apply(const endpoint_record& record);
  /// Sets the failure domains whose endpoints get no more requests. Requests in
  /// progress there are not affected. `domains` is sorted.
  void SetEvacuated(const std::vector<failure_domain_id>& domains,
                    steady_time now);
  /// Chooses an endpoint for a request, or nothing if none can serve it within
  /// the load bound of the pool.
  std::optional<placement_choice> Choose(const request_demand& demand,
                                         const placement_limits& limits,
                                         steady_time now);
  /// Time until an endpoint within the limits takes a request, if endpoints
  /// serve that take none now because of their own limits.
  std::optional<std::chrono::microseconds> LimitWait(
      const placement_limits& limits, steady_time now);
  /// Time until an endpoint within the limits wants requests again, if all
  /// that serve have asked this VM for a pause.
  std::optional<std::chrono::microseconds> PauseWait(
      const placement_limits& limits, steady_time now) const;
  /// What keeps a request from the endpoints that could serve it, after
  /// Choose() has found none; nothing if there are no such endpoints.
  std::optional<full_pool> FindFull(const placement_limits& limits,
                                    steady_time now);
  /// Whether Choose() would find an endpoint.
  bool HasPlace(const placement_limits& limits, steady_time now);
  /// Requests of this VM that wait for a place in the pool.
  std::uint32_t waiting() const { return waiting_; }
  void AddWaiting() { ++waiting_; }
  void RemoveWaiting() { --waiting_; }
  /// Records that a request has arrived, whatever its outcome.
  void RecordDemand(const request_demand& demand);
  /// The endpoint with this id, or null.
  endpoint_estimate* Find(const endpoint_id& id);
  /// Records the time from the start to the end of a successful call.
  void RecordDuration(std::chrono::microseconds duration);

  /// Records how long work took at an endpoint. Only complete work counts: a
  /// broken connection, a refusal or a time-out is no evidence of its speed.
  void RecordWork(endpoint_estimate& endpoint, const work_sample& sample,
                  steady_time now);
  /// Endpoints that take clearly longer than their pool.
  std::size_t CountSlow() const;

  /// Appends the load reports that endpoints sent with responses to this entry
  /// VM since the last call.
  void TakeLoads(std::vector<shared_load>& loads, steady_time now);

  /// Requests of this VM at endpoints that are known to serve.
  std::uint32_t InProgress(steady_time now) const;
  /// Sets what InProgress() is of all other entry VMs together.
  void SetOthersProgress(std::uint32_t requests, steady_time now);

  /// What attempts and probes say about this VM's links to the endpoints.
  pool_reach& reach() { return reach_; }
  const pool_reach& reach() const { return reach_; }
  /// When the oldest request was sent to a serving endpoint that has sent
  /// nothing since.
  std::optional<steady_time> OldestWait() const;
  std::size_t CountServing() const;
  /// Up to `count` endpoints that serve, drawn at random.
  std::vector<endpoint_record> PickServing(std::size_t count);
  /// Forgets failures that came from lost links of this VM.
  void ForgetFailures();

  /// True if at least one endpoint within the limits accepts requests.
  bool CanServe(const placement_limits& limits, steady_time now) const;
  /// True if the endpoints that have not ended have several software versions.
  bool HasSeveralVersions() const;
  /// Removes endpoints that have ended and have no call in flight.
  void Sweep();
  std::size_t size() const { return endpoints_.size(); }
  double mean_duration_ms() const { return duration_ms_.value(); }

 private:
  /// Weight of one report of what other entry VMs have in progress. It is older
  /// than many requests last, so that the mean of some reports is nearer to the
  /// present value than the latest one.
  static constexpr double kProgressGain = 0.2;

  struct candidate {
    endpoint_estimate* endpoint = nullptr;
    double load = 0;
    /// Share of the prefixes that prefer this endpoint, relative to one
    /// without a limit.
    double weight = 1;
    bool is_cold = false;
    /// Estimated duration of work relative to the pool.
    double duration_factor = 1;
  };
  /// Endpoints within the limits that serve; avoided ones only if
  /// `also_avoided`.
  std::vector<candidate> FindCandidates(const placement_limits& limits,
                                        bool also_avoided, steady_time now);
  // endpoint_pool_warm_up.cc: cold endpoints.
  /// Why and until when an endpoint counts as cold.
  struct coldness {
    /// The endpoint said so, is silent, or AssumeCold() was called.
    bool is_cold = false;
    /// A connection to it failed, so that it may have started again.
    bool may_be_cold = false;
    steady_time until;
  };
  coldness ColdnessOf(const endpoint_estimate& endpoint, steady_time now) const;
  /// The coldness by which the limit counts; one that only may be is ignored if
  /// no other endpoint is left (`also_avoided`).
  bool IsLimited(const coldness& state, bool also_avoided) const;
  /// Time until a cold endpoint takes a request from this VM.
  std::chrono::microseconds ColdWait(endpoint_estimate& endpoint,
                                     const coldness& state, steady_time now);
  /// Requests per second that this VM may send to the endpoint while it is
  /// cold.
  double ColdPart(const endpoint_estimate& endpoint, steady_time now) const;

  bool IsEvacuated(const endpoint_record& record) const;
  /// Requests per second that this VM sends to an endpoint on average.
  double UsualRate(steady_time now) const;
  /// An endpoint with a limit is preferred as often as this VM may send to it.
  double PreferenceWeight(const endpoint_estimate& endpoint, bool is_cold,
                          steady_time now) const;
  /// Speed matters in this pool: an endpoint states the duration of work,
  /// or the settings say so.
  bool EstimatesSpeed(steady_time now) const;
  /// Compares the estimated speeds of the endpoints with each other.
  void UpdateSpeeds(steady_time now);
  /// Duration of work relative to the pool; 1 if the pool estimates no speed.
  double DurationFactor(const endpoint_estimate& endpoint) const;
  /// Expected duration of the work, up to a factor that is the same for all
  /// endpoints.
  double UsualMs(const endpoint_estimate& endpoint, const work_sample& sample,
                 steady_time now) const;
  /// Share of a load bound that the candidate gets: 1, or less if it is slow.
  static double SpeedShare(const candidate& each);
  /// As FindCandidates(), with avoided ones only if there are no others.
  std::vector<candidate> FindUsable(const placement_limits& limits,
                                    steady_time now);
  /// The load bound of the pool; nothing if no endpoint is known to serve.
  std::optional<load_bound> Bound(steady_time now) const;
  /// What InProgress() is of all other entry VMs together, 0 if unknown.
  double OthersInProgress(steady_time now) const;
  /// Mean load of the candidates that name no limit, or of all if each does.
  /// Cold ones hold few requests and do not count either.
  static double MeanUnlimitedLoad(const std::vector<candidate>& candidates);
  static double MeanLoad(const std::vector<candidate>& candidates);
  /// The candidates without those that would have to refuse a request for want
  /// of a slot and end after a number of refusals.
  std::vector<candidate> WithinSlots(std::vector<candidate> candidates,
                                     steady_time now) const;
  /// Sending another request there might make the endpoint refuse one.
  bool IsFull(const candidate& each, steady_time now) const;
  /// An endpoint of the pool ends after a number of refusals.
  bool LimitsRefusals() const;
  /// Requests that this VM may have in progress at an endpoint that ends after
  /// a number of refusals.
  std::uint32_t OwnSlots(const endpoint_estimate& endpoint) const;
  /// The endpoint has named no limit of its refusals. One that has not
  /// responded yet may have one.
  static bool MayRefuse(const endpoint_estimate& endpoint);
  /// The candidates that may get another request.
  static std::vector<candidate> WithinBound(
      const std::vector<candidate>& candidates, const load_bound& bound);
  /// The part of a prompt that other requests share, and the endpoint that is
  /// expected to cache it.
  struct shared_prefix {
    std::uint64_t prefix_hash = 0;
    token_count tokens;
    const endpoint_estimate* preferred = nullptr;
  };
  /// Estimates the cost of sending the request to this candidate.
  placement_choice EstimateCost(const candidate& each,
                                const request_demand& demand,
                                const shared_prefix& shared) const;
  /// `candidates` must not be empty.
  placement_choice FindCheapest(const request_demand& demand,
                                const std::vector<candidate>& candidates,
                                const shared_prefix& shared) const;
  /// One of those with nearly the least cost, at random.
  placement_choice FindNearlyCheapest(const request_demand& demand,
                                      const std::vector<candidate>& candidates,
                                      const shared_prefix& shared) const;
  shared_prefix FindSharedPrefix(const request_demand& demand,
                                 const std::vector<candidate>& candidates,
                                 double mean) const;
  /// A cold endpoint that may not be used now is preferred over this score, and
  /// takes the prefix again once it is warm.
  bool HasColdPreferred(std::uint64_t prefix_hash, double score) const;
  /// Picks one of the two endpoints that all entry VMs prefer for a prefix.
  const endpoint_estimate* PickPreferred(
      std::uint64_t prefix_hash, const std::vector<candidate>& candidates,
      double mean) const;
  /// The preferred endpoint for a prefix apart from `except`. It may be
  /// leaving or evacuated, because it still has the prefix in its cache.
  const endpoint_estimate* FindPreferredExcept(
      std::uint64_t prefix_hash, const endpoint_estimate& except) const;
  /// An endpoint from whose cache the chosen one can copy the prefix, or null.
  const endpoint_estimate* FindCopySource(const request_demand& demand,
                                          const shared_prefix& shared,
                                          const endpoint_estimate& chosen,
                                          steady_time now) const;

  const placement_settings settings_;
  token_count cache_capacity_;
  fleet_position position_;
  std::optional<warm_up_spec> warm_up_;
  std::optional<warm_up_limit> warm_up_limit_;
  std::map<failure_domain_id, steady_time> assumed_cold_;
  bool in_contact_ = true;
  const random_source random_;
  const std::shared_ptr<endpoint_terms_table> terms_;
  std::map<endpoint_id, std::unique_ptr<endpoint_estimate>> endpoints_;
  /// Evacuated failure domains, sorted.
  std::vector<failure_domain_id> evacuated_;
  /// Endpoints that the last FindCandidates() left out because they are cold.
  std::vector<const endpoint_estimate*> cold_left_out_;
  pool_reach reach_;
  smoothed_value duration_ms_;
  std::uint32_t waiting_ = 0;
  std::optional<steady_time> speeds_updated_at_;
  bool uses_speed_ = false;
  duration_baseline usual_durations_;
  /// Requests per second for which this VM chooses an endpoint.
  event_rate choices_;
  session_detector sessions_;
  smoothed_value others_in_progress_;
  std::optional<steady_time> others_reported_at_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_PLACEMENT_ENDPOINT_POOL_H_
