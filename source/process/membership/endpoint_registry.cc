#include "process/membership/endpoint_registry.h"

#include <algorithm>
#include <tuple>

#include "process/membership/holder_hash.h"

namespace marjoramsill {
namespace {

/// Earliest time of the clock: evidence from this time is never fresh.
constexpr steady_time kNever = steady_time::min();
/// A longer pause that an endpoint asks for ends after this time.
constexpr std::chrono::milliseconds kMaxPause{3'600'000};

}  // namespace

endpoint_registry::endpoint_registry(endpoint_registry_settings settings)
    : settings_(std::move(settings)),
      probe_budget_(settings_.probe_bytes_per_second, settings_.probe_bytes) {}

bool endpoint_registry::IsOwn(const registry_entry& entry) const {
  return entry.holder == settings_.self;
}

bool endpoint_registry::IsFresh(const registry_entry& entry,
                                steady_time now) const {
  return entry.evidence_at.has_value() &&
         now < *entry.evidence_at + settings_.evidence_limit;
}

// A process that resumes after a freeze reads announcements that were queued in
// its socket buffers. The evidence from before the freeze is discarded, and the
// next announcement of an endpoint is not accepted as evidence.
void endpoint_registry::DetectFreeze(steady_time now) {
  if (last_event_at_.has_value() &&
      now - *last_event_at_ > settings_.freeze_gap) {
    for (auto& [id, entry] : entries_) {
      entry.evidence_at.reset();
      entry.schedule.Reset();
      if (IsOwn(entry)) entry.last_announcement_at = now;
    }
  }
  last_event_at_ = now;
}

endpoint_registry::registry_entry& endpoint_registry::Add(
    const endpoint_announcement& announcement) {
  registry_entry added;
  added.record.endpoint = announcement;
  added.schedule = announcement_schedule(settings_.schedule);
  added.breaker = circuit_breaker(settings_.breaker);
  added.damper = flap_damper(settings_.damper);
  ++view_number_;
  return entries_.emplace(announcement.id, std::move(added)).first->second;
}

void endpoint_registry::SetHolder(registry_entry& entry,
                                  const holder_id& holder) {
  const auto before = leases_by_holder_.find(entry.holder);
  if (before != leases_by_holder_.end()) {
    before->second.erase(entry.record.endpoint.id);
    if (before->second.empty()) leases_by_holder_.erase(before);
  }
  entry.holder = holder;
  leases_by_holder_[holder].insert(entry.record.endpoint.id);
}

void endpoint_registry::AssignSequence(registry_entry& entry) {
  entry.record.sequence = ++own_sequence_;
  ++view_number_;
}

void endpoint_registry::Restart(registry_entry& entry,
                                const endpoint_announcement& announcement,
                                steady_time now) {
  entry.record.endpoint = announcement;
  entry.record.epoch = 0;
  entry.record.silent = false;
  entry.evidence_at.reset();
  entry.schedule.Reset();
  entry.breaker = circuit_breaker(settings_.breaker);
  entry.paused_until = {};
  entry.damper.OnReturn(now);
}

void endpoint_registry::AcquireLease(registry_entry& entry, steady_time now) {
  if (IsOwn(entry) && !entry.record.silent) return;
  if (entry.record.silent) entry.damper.OnReturn(now);
  entry.record.silent = false;
  ++entry.record.epoch;
  entry.schedule.Reset();
  SetHolder(entry, settings_.self);
  AssignSequence(entry);
}

result<announcement_response, announcement_refusal>
endpoint_registry::OnAnnouncement(const endpoint_announcement& announcement,
                                  steady_time now) {
  DetectFreeze(now);
  const auto found = entries_.find(announcement.id);
  if (found == entries_.end() && entries_.size() >= settings_.max_endpoints) {
    return failure(announcement_refusal::kTooManyEndpoints);
  }
  if (found != entries_.end() &&
      announcement.incarnation < found->second.record.endpoint.incarnation) {
    return failure(announcement_refusal::kOldIncarnation);
  }
  registry_entry& entry =
      found == entries_.end() ? Add(announcement) : found->second;
  const bool restarted =
      entry.record.endpoint.incarnation < announcement.incarnation;
  if (restarted) Restart(entry, announcement, now);
  AcquireLease(entry, now);
  endpoint_announcement& current = entry.record.endpoint;
  endpoint_announcement next = announcement;
  next.state = std::max(current.state, announcement.state);
  const bool changed =
      restarted || next.state != current.state ||
      next.address != current.address || next.domain != current.domain ||
      next.serves != current.serves || next.capacity != current.capacity;
  current = std::move(next);
  if (changed) AssignSequence(entry);
  entry.load_at = now;
  entry.last_announcement_at = now;
  const auto sent = entry.schedule.OnAnnouncement(now);
  if (sent.has_value()) {
    entry.evidence_at = std::max(entry.evidence_at.value_or(kNever), *sent);
  } else {
    entry.probe_requested = true;
  }
  return announcement_response{settings_.lease_duration,
                               settings_.schedule.interval};
}

void endpoint_registry::ApplyResponse(registry_entry& entry,
                                      std::optional<endpoint_state> state,
                                      std::optional<endpoint_load> load,
                                      steady_time sent_at, steady_time now) {
  entry.evidence_at = std::max(entry.evidence_at.value_or(kNever), sent_at);
  entry.probes_without_response = 0;
  entry.schedule.OnDirectResponse(sent_at, now);
  if (load.has_value() && sent_at >= entry.load_at) {
    entry.record.endpoint.load = *load;
    entry.load_at = now;
  }
  if (state == endpoint_state::kLeaving &&
      entry.record.endpoint.state != endpoint_state::kLeaving) {
    entry.record.endpoint.state = endpoint_state::kLeaving;
    ++view_number_;
    if (IsOwn(entry)) AssignSequence(entry);
  }
}

void endpoint_registry::OnProbeResult(const endpoint_id& id,
                                      const probe_result& probe,
                                      steady_time now) {
  DetectFreeze(now);
  const auto found = entries_.find(id);
  if (found == entries_.end()) return;
  registry_entry& entry = found->second;
  if (entry.record.endpoint.incarnation != probe.incarnation ||
      !probe.healthy) {
    return;
  }
  entry.probe_requested = false;
  ApplyResponse(entry, probe.state, probe.load, probe.sent_at, now);
}

void endpoint_registry::OnAttempt(const endpoint_id& id,
                                  const attempt_report& attempt,
                                  steady_time now) {
  DetectFreeze(now);
  const auto found = entries_.find(id);
  if (found == entries_.end()) return;
  registry_entry& entry = found->second;
  if (entry.record.endpoint.incarnation != attempt.incarnation) return;
  if (attempt.pause) {
    entry.paused_until =
        std::max(entry.paused_until, now + std::min(*attempt.pause, kMaxPause));
  }
  if (!attempt.succeeded) {
    entry.breaker.OnFailure(now);
    return;
  }
  entry.breaker.OnSuccess();
  ApplyResponse(entry, attempt.state, attempt.load, attempt.sent_at, now);
}

dispatch_decision endpoint_registry::Evaluate(const registry_entry& entry,
                                              steady_time now) const {
  if (entry.record.silent) return dispatch_decision::kUnknown;
  if (entry.record.endpoint.state == endpoint_state::kLeaving) {
    return dispatch_decision::kLeaving;
  }
  if (now < entry.paused_until) return dispatch_decision::kPaused;
  if (entry.damper.IsHeld(now)) return dispatch_decision::kHeldDown;
  if (!entry.breaker.WouldAdmit(now)) return dispatch_decision::kCircuitOpen;
  if (!IsFresh(entry, now)) return dispatch_decision::kNeedsProbe;
  return dispatch_decision::kUsable;
}

dispatch_decision endpoint_registry::Inspect(const endpoint_id& id,
                                             steady_time now) const {
  const auto found = entries_.find(id);
  if (found == entries_.end()) return dispatch_decision::kUnknown;
  // This call may be the first event after a freeze.
  if (last_event_at_.has_value() &&
      now - *last_event_at_ > settings_.freeze_gap &&
      Evaluate(found->second, now) == dispatch_decision::kUsable) {
    return dispatch_decision::kNeedsProbe;
  }
  return Evaluate(found->second, now);
}

dispatch_decision endpoint_registry::Dispatch(const endpoint_id& id,
                                              steady_time now) {
  DetectFreeze(now);
  const auto found = entries_.find(id);
  if (found == entries_.end()) return dispatch_decision::kUnknown;
  registry_entry& entry = found->second;
  const dispatch_decision decision = Evaluate(entry, now);
  if (decision == dispatch_decision::kNeedsProbe) entry.probe_requested = true;
  if (decision == dispatch_decision::kUsable) entry.breaker.Admit(now);
  return decision;
}

void endpoint_registry::Expire(registry_entry& entry, steady_time now) {
  if (entry.record.silent || !IsOwn(entry)) return;
  if (now - entry.last_announcement_at <= settings_.lease_duration) return;
  entry.record.silent = true;
  entry.silent_since = now;
  entry.evidence_at.reset();
  entry.schedule.Reset();
  entry.probe_requested = false;
  AssignSequence(entry);
}

std::vector<probe_request> endpoint_registry::Tick(steady_time now) {
  DetectFreeze(now);
  for (auto it = entries_.begin(); it != entries_.end();) {
    registry_entry& entry = it->second;
    Expire(entry, now);
    if (entry.record.silent &&
        now - entry.silent_since > settings_.remove_silent_after) {
      it = Remove(it);
      continue;
    }
    ++it;
  }
  std::vector<probe_request> probes;
  for (registry_entry* entry : ProbesDue(now)) {
    if (!probe_budget_.TryTake(settings_.probe_bytes, now)) break;
    entry->last_probe = now;
    entry->probe_requested = false;
    ++entry->probes_without_response;
    probe_bytes_sent_ += settings_.probe_bytes;
    const endpoint_announcement& endpoint = entry->record.endpoint;
    probes.push_back({endpoint.id, endpoint.incarnation, endpoint.address});
  }
  return probes;
}

// Endpoints that responded to the last probe come first, then those whose last
// probe is the longest ago.
std::vector<endpoint_registry::registry_entry*> endpoint_registry::ProbesDue(
    steady_time now) {
  std::vector<registry_entry*> due;
  for (auto& [id, entry] : entries_) {
    if (!entry.probe_requested || entry.record.silent) continue;
    const auto wait =
        std::min(settings_.probe_interval *
                     (1U << std::min(entry.probes_without_response, 10U)),
                 settings_.max_probe_interval);
    if (entry.probes_without_response == 0 || now - entry.last_probe >= wait) {
      due.push_back(&entry);
    }
  }
  std::sort(due.begin(), due.end(),
            [](const registry_entry* a, const registry_entry* b) {
              return std::tie(a->probes_without_response, a->last_probe) <
                     std::tie(b->probes_without_response, b->last_probe);
            });
  return due;
}

std::optional<endpoint_status> endpoint_registry::Find(
    const endpoint_id& id) const {
  const auto found = entries_.find(id);
  if (found == entries_.end()) return std::nullopt;
  const registry_entry& entry = found->second;
  endpoint_status status;
  status.endpoint = entry.record.endpoint;
  status.silent = entry.record.silent;
  const endpoint_availability availability = AvailabilityOf(entry);
  status.admitted = availability.admitted;
  status.fresh_until = availability.fresh_until;
  status.load_at = availability.load_at;
  return status;
}

endpoint_availability endpoint_registry::AvailabilityOf(
    const registry_entry& entry) const {
  const steady_time now = last_event_at_.value_or(steady_time{});
  const dispatch_decision decision = Evaluate(entry, now);
  endpoint_availability availability;
  availability.admitted = decision == dispatch_decision::kUsable ||
                          decision == dispatch_decision::kNeedsProbe;
  availability.fresh_until = entry.evidence_at.has_value()
                                 ? *entry.evidence_at + settings_.evidence_limit
                                 : kNever;
  availability.load_at = entry.load_at;
  return availability;
}

void endpoint_registry::VisitServing(
    const std::function<void(const endpoint_announcement&,
                             const endpoint_availability&)>& visit) const {
  for (const auto& [id, entry] : entries_) {
    const endpoint_announcement& announcement = entry.record.endpoint;
    const bool serves =
        !entry.record.silent && announcement.state != endpoint_state::kLeaving;
    if (serves) visit(announcement, AvailabilityOf(entry));
  }
}

std::vector<endpoint_status> endpoint_registry::AllOfModel(
    const model_id& model) const {
  std::vector<endpoint_status> all;
  for (const auto& [id, entry] : entries_) {
    const auto& serves = entry.record.endpoint.serves;
    if (std::find(serves.begin(), serves.end(), model) != serves.end()) {
      all.push_back(*Find(id));
    }
  }
  return all;
}

std::vector<endpoint_status> endpoint_registry::ForModel(
    const model_id& model) const {
  std::vector<endpoint_status> serving = AllOfModel(model);
  std::erase_if(serving, [](const endpoint_status& status) {
    return status.silent || status.endpoint.state == endpoint_state::kLeaving;
  });
  return serving;
}

std::uint64_t endpoint_registry::Fingerprint() const {
  std::uint64_t sum = 0;
  for (const auto& [id, entry] : entries_) {
    if (entry.record.silent) continue;
    sum +=
        HashPair(id.value(),
                 entry.record.endpoint.incarnation.value() * 2 +
                     static_cast<std::uint64_t>(entry.record.endpoint.state));
  }
  return sum;
}

}  // namespace marjoramsill
