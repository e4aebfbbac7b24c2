#include "process/membership/endpoint_registry.h"

#include <algorithm>
#include <tuple>

#include "process/membership/holder_hash.h"

namespace marjoramsill {
namespace {

/// Earliest time of the clock: evidence of this date is never fresh.
constexpr steady_time kNever = steady_time::min();

}  // namespace

endpoint_registry::endpoint_registry(endpoint_registry_settings settings)
    : settings_(std::move(settings)),
      probe_budget_(settings_.probe_bytes_per_second, settings_.probe_bytes) {}

bool endpoint_registry::IsOwn(const entry& known) const {
  return known.holder == settings_.self;
}

bool endpoint_registry::IsFresh(const entry& known, steady_time now) const {
  return known.evidence.has_value() &&
         now < *known.evidence + settings_.evidence_limit;
}

// A frozen process reads announcements that waited in its socket buffers, so
// neither its evidence nor the next announcement of any endpoint counts.
void endpoint_registry::Observe(steady_time now) {
  if (last_event_.has_value() && now - *last_event_ > settings_.freeze_gap) {
    for (auto& [id, known] : entries_) {
      known.evidence.reset();
      known.schedule.Reset();
      if (IsOwn(known)) known.last_heard = now;
    }
  }
  last_event_ = now;
}

endpoint_registry::entry& endpoint_registry::Add(
    const endpoint_announcement& said) {
  entry added;
  added.record.endpoint = said;
  added.schedule = announcement_schedule(settings_.schedule);
  added.breaker = circuit_breaker(settings_.breaker);
  added.damper = flap_damper(settings_.damper);
  ++view_number_;
  return entries_.emplace(said.id, std::move(added)).first->second;
}

void endpoint_registry::SetHolder(entry& known, const holder_id& holder) {
  const auto before = held_.find(known.holder);
  if (before != held_.end()) {
    before->second.erase(known.record.endpoint.id);
    if (before->second.empty()) held_.erase(before);
  }
  known.holder = holder;
  held_[holder].insert(known.record.endpoint.id);
}

void endpoint_registry::Write(entry& known) {
  known.record.change = ++own_change_;
  ++view_number_;
}

void endpoint_registry::Restart(entry& known, const endpoint_announcement& said,
                                steady_time now) {
  known.record.endpoint = said;
  known.record.epoch = 0;
  known.record.silent = false;
  known.evidence.reset();
  known.schedule.Reset();
  known.breaker = circuit_breaker(settings_.breaker);
  known.damper.OnReturn(now);
}

void endpoint_registry::Hold(entry& known, steady_time now) {
  if (IsOwn(known) && !known.record.silent) return;
  if (known.record.silent) known.damper.OnReturn(now);
  known.record.silent = false;
  ++known.record.epoch;
  known.schedule.Reset();
  SetHolder(known, settings_.self);
  Write(known);
}

result<announcement_reply, announcement_refusal>
endpoint_registry::OnAnnouncement(const endpoint_announcement& said,
                                  steady_time now) {
  Observe(now);
  const auto found = entries_.find(said.id);
  if (found == entries_.end() && entries_.size() >= settings_.max_endpoints) {
    return failure(announcement_refusal::kTooManyEndpoints);
  }
  if (found != entries_.end() &&
      said.life < found->second.record.endpoint.life) {
    return failure(announcement_refusal::kOldIncarnation);
  }
  entry& known = found == entries_.end() ? Add(said) : found->second;
  const bool restarted = known.record.endpoint.life < said.life;
  if (restarted) Restart(known, said, now);
  Hold(known, now);
  endpoint_announcement& held = known.record.endpoint;
  endpoint_announcement next = said;
  next.state = std::max(held.state, said.state);
  const bool changed =
      restarted || next.state != held.state || next.address != held.address ||
      next.domain != held.domain || next.serves != held.serves ||
      next.capacity != held.capacity;
  held = std::move(next);
  if (changed) Write(known);
  known.load_at = now;
  known.last_heard = now;
  const auto sent = known.schedule.OnAnnouncement(now);
  if (sent.has_value()) {
    known.evidence = std::max(known.evidence.value_or(kNever), *sent);
  } else {
    known.probe_wanted = true;
  }
  return announcement_reply{settings_.lease, settings_.schedule.interval};
}

void endpoint_registry::Learn(entry& known, std::optional<endpoint_state> state,
                              std::optional<endpoint_load> load,
                              steady_time sent_at, steady_time now) {
  known.evidence = std::max(known.evidence.value_or(kNever), sent_at);
  known.unanswered = 0;
  known.schedule.OnDirectAnswer(sent_at, now);
  if (load.has_value() && sent_at >= known.load_at) {
    known.record.endpoint.load = *load;
    known.load_at = now;
  }
  if (state == endpoint_state::kLeaving &&
      known.record.endpoint.state != endpoint_state::kLeaving) {
    known.record.endpoint.state = endpoint_state::kLeaving;
    ++view_number_;
    if (IsOwn(known)) Write(known);
  }
}

void endpoint_registry::OnProbeResult(const endpoint_id& id,
                                      const probe_result& probe,
                                      steady_time now) {
  Observe(now);
  const auto found = entries_.find(id);
  if (found == entries_.end()) return;
  entry& known = found->second;
  if (known.record.endpoint.life != probe.life || !probe.healthy) return;
  known.probe_wanted = false;
  Learn(known, probe.state, probe.load, probe.sent_at, now);
}

void endpoint_registry::OnAttempt(const endpoint_id& id,
                                  const attempt_report& attempt,
                                  steady_time now) {
  Observe(now);
  const auto found = entries_.find(id);
  if (found == entries_.end()) return;
  entry& known = found->second;
  if (known.record.endpoint.life != attempt.life) return;
  if (!attempt.succeeded) {
    known.breaker.OnFailure(now);
    return;
  }
  known.breaker.OnSuccess();
  Learn(known, attempt.state, attempt.load, attempt.sent_at, now);
}

dispatch_verdict endpoint_registry::Judge(const entry& known,
                                          steady_time now) const {
  if (known.record.silent) return dispatch_verdict::kUnknown;
  if (known.record.endpoint.state == endpoint_state::kLeaving) {
    return dispatch_verdict::kLeaving;
  }
  if (known.damper.IsHeld(now)) return dispatch_verdict::kHeldDown;
  if (!known.breaker.WouldAdmit(now)) return dispatch_verdict::kCircuitOpen;
  if (!IsFresh(known, now)) return dispatch_verdict::kNeedsProbe;
  return dispatch_verdict::kUsable;
}

dispatch_verdict endpoint_registry::Inspect(const endpoint_id& id,
                                            steady_time now) const {
  const auto found = entries_.find(id);
  if (found == entries_.end()) return dispatch_verdict::kUnknown;
  // The first event after a freeze may be this question.
  if (last_event_.has_value() && now - *last_event_ > settings_.freeze_gap &&
      Judge(found->second, now) == dispatch_verdict::kUsable) {
    return dispatch_verdict::kNeedsProbe;
  }
  return Judge(found->second, now);
}

dispatch_verdict endpoint_registry::Dispatch(const endpoint_id& id,
                                             steady_time now) {
  Observe(now);
  const auto found = entries_.find(id);
  if (found == entries_.end()) return dispatch_verdict::kUnknown;
  entry& known = found->second;
  const dispatch_verdict verdict = Judge(known, now);
  if (verdict == dispatch_verdict::kNeedsProbe) known.probe_wanted = true;
  if (verdict == dispatch_verdict::kUsable) known.breaker.Admit(now);
  return verdict;
}

void endpoint_registry::Expire(entry& known, steady_time now) {
  if (known.record.silent || !IsOwn(known)) return;
  if (now - known.last_heard <= settings_.lease) return;
  known.record.silent = true;
  known.silent_since = now;
  known.evidence.reset();
  known.schedule.Reset();
  known.probe_wanted = false;
  Write(known);
}

std::vector<probe_request> endpoint_registry::Tick(steady_time now) {
  Observe(now);
  for (auto it = entries_.begin(); it != entries_.end();) {
    entry& known = it->second;
    Expire(known, now);
    if (known.record.silent &&
        now - known.silent_since > settings_.forget_silent) {
      it = Remove(it);
      continue;
    }
    ++it;
  }
  std::vector<probe_request> probes;
  for (entry* known : ProbesDue(now)) {
    if (!probe_budget_.Take(settings_.probe_bytes, now)) break;
    known->last_probe = now;
    known->probe_wanted = false;
    ++known->unanswered;
    probe_bytes_sent_ += settings_.probe_bytes;
    const endpoint_announcement& endpoint = known->record.endpoint;
    probes.push_back({endpoint.id, endpoint.life, endpoint.address});
  }
  return probes;
}

// Endpoints that answered the last probe come first, then the longest wait.
std::vector<endpoint_registry::entry*> endpoint_registry::ProbesDue(
    steady_time now) {
  std::vector<entry*> due;
  for (auto& [id, known] : entries_) {
    if (!known.probe_wanted || known.record.silent) continue;
    const auto wait = std::min(
        settings_.probe_interval * (1U << std::min(known.unanswered, 10U)),
        settings_.longest_probe_interval);
    if (known.unanswered == 0 || now - known.last_probe >= wait) {
      due.push_back(&known);
    }
  }
  std::sort(due.begin(), due.end(), [](const entry* a, const entry* b) {
    return std::tie(a->unanswered, a->last_probe) <
           std::tie(b->unanswered, b->last_probe);
  });
  return due;
}

std::optional<endpoint_status> endpoint_registry::Find(
    const endpoint_id& id) const {
  const auto found = entries_.find(id);
  if (found == entries_.end()) return std::nullopt;
  const entry& known = found->second;
  endpoint_status status;
  status.endpoint = known.record.endpoint;
  status.silent = known.record.silent;
  const endpoint_vitals vitals = VitalsOf(known);
  status.admitted = vitals.admitted;
  status.fresh_until = vitals.fresh_until;
  status.load_at = vitals.load_at;
  return status;
}

endpoint_vitals endpoint_registry::VitalsOf(const entry& known) const {
  const steady_time now = last_event_.value_or(steady_time{});
  const dispatch_verdict verdict = Judge(known, now);
  endpoint_vitals vitals;
  vitals.admitted = verdict == dispatch_verdict::kUsable ||
                    verdict == dispatch_verdict::kNeedsProbe;
  vitals.fresh_until = known.evidence.has_value()
                           ? *known.evidence + settings_.evidence_limit
                           : kNever;
  vitals.load_at = known.load_at;
  return vitals;
}

void endpoint_registry::VisitServing(
    const std::function<void(const endpoint_announcement&,
                             const endpoint_vitals&)>& visit) const {
  for (const auto& [id, known] : entries_) {
    const endpoint_announcement& said = known.record.endpoint;
    const bool serves =
        !known.record.silent && said.state != endpoint_state::kLeaving;
    if (serves) visit(said, VitalsOf(known));
  }
}

std::vector<endpoint_status> endpoint_registry::AllOfModel(
    const model_id& model) const {
  std::vector<endpoint_status> all;
  for (const auto& [id, known] : entries_) {
    const auto& serves = known.record.endpoint.serves;
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
  for (const auto& [id, known] : entries_) {
    if (known.record.silent) continue;
    sum +=
        HashPair(id.value(),
                 known.record.endpoint.life.value() * 2 +
                     static_cast<std::uint64_t>(known.record.endpoint.state));
  }
  return sum;
}

}  // namespace marjoramsill
