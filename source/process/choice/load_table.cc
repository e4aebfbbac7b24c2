#include "process/choice/load_table.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace marjoramsill {

load_table::load_table(load_table_settings settings) : settings_(settings) {}

void load_table::Assign(const placement* before, const placement& table) {
  std::vector<entry> next(table.endpoints().size());
  std::vector<own_event_history> histories(next.size());
  for (endpoint_index i = 0; i < next.size(); ++i) {
    const placement_endpoint& endpoint = table.endpoints()[i];
    if (before != nullptr) {
      const auto old = before->IndexOf(endpoint.id);
      if (old.has_value()) {
        next[i] = entries_[*old];
        histories[i] = histories_[*old];
      }
    }
    next[i].capacity = endpoint.capacity;
  }
  entries_ = std::move(next);
  histories_ = std::move(histories);
  own_in_flight_ = 0;
  for (const entry& state : entries_) own_in_flight_ += state.own;
  if (last_tick_ != steady_time::min()) Tick(last_tick_);
}

void load_table::SetCondition(endpoint_index index,
                              const endpoint_condition& condition) {
  entries_[index].fresh_until = condition.fresh_until;
  entries_[index].admitted = condition.admitted;
}

std::uint32_t load_table::Estimate(endpoint_index index) const {
  const entry& state = entries_[index];
  const auto sum = static_cast<std::int64_t>(state.reported) +
                   static_cast<std::int64_t>(state.since_report);
  return static_cast<std::uint32_t>(std::max<std::int64_t>(sum, state.own));
}

void load_table::UpdateTotal(endpoint_index index, std::uint32_t before) {
  if (!entries_[index].counted) return;
  total_load_ += Estimate(index);
  total_load_ -= before;
}

void load_table::OnReport(endpoint_index index, std::uint32_t requests,
                          steady_time as_of) {
  entry& state = entries_[index];
  if (as_of <= state.reported_at) return;
  const std::uint32_t before = Estimate(index);
  state.reported = requests;
  state.reported_at = as_of;
  state.since_report = 0;
  for (const own_event& event : histories_[index].events) {
    if (event.at > as_of) state.since_report += event.change;
  }
  UpdateTotal(index, before);
}

void load_table::RecordOwnEvent(endpoint_index index, std::int32_t change,
                                steady_time now) {
  entry& state = entries_[index];
  const std::uint32_t before = Estimate(index);
  state.own = static_cast<std::uint32_t>(
      std::max<std::int64_t>(0, std::int64_t{state.own} + change));
  state.since_report += change;
  own_event_history& history = histories_[index];
  history.events.at(history.next) = {now, change};
  history.next = static_cast<std::uint8_t>((history.next + 1) % kMaxOwnEvents);
  UpdateTotal(index, before);
}

void load_table::OnSent(endpoint_index index, steady_time now) {
  ++own_in_flight_;
  RecordOwnEvent(index, 1, now);
}

void load_table::OnFinished(endpoint_index index, steady_time now) {
  if (entries_[index].own == 0) return;
  --own_in_flight_;
  ++finished_;
  RecordOwnEvent(index, -1, now);
}

void load_table::Tick(steady_time now) {
  if (last_tick_ != steady_time::min() && now > last_tick_) {
    const double seconds =
        std::chrono::duration<double>(now - last_tick_).count();
    const double weight = std::min(1.0, seconds / 10.0);
    finish_rate_ += weight * (finished_ / seconds - finish_rate_);
    finished_ = 0;
  }
  last_tick_ = now;
  // Endpoints without a recent report are excluded, because they would lower
  // the mean.
  SumLoads(now, true);
  if (total_capacity_ == 0) SumLoads(now, false);
  // Fraction of the requests in flight that complete per second, derived from
  // this VM's own requests by Little's law.
  completion_fraction_ =
      own_in_flight_ == 0 ? 0
                          : finish_rate_ / static_cast<double>(own_in_flight_);
}

void load_table::SumLoads(steady_time now, bool reported_only) {
  total_load_ = 0;
  total_capacity_ = 0;
  for (endpoint_index i = 0; i < entries_.size(); ++i) {
    entry& state = entries_[i];
    const bool has_report =
        state.reported_at != steady_time::min() &&
        now - state.reported_at < settings_.max_report_age_for_mean;
    // One that gets no work for now still belongs to the pool while its reports
    // arrive; otherwise the bound of the others would grow with each one.
    state.counted = now < state.fresh_until &&
                    (reported_only ? has_report : state.admitted);
    if (!state.counted) continue;
    total_load_ += Estimate(i);
    total_capacity_ += state.capacity;
  }
}

double load_table::ShareOf(endpoint_index index) const {
  if (total_capacity_ == 0) return 1;
  return static_cast<double>(total_load_ + 1) * entries_[index].capacity /
         static_cast<double>(total_capacity_);
}

std::chrono::microseconds load_table::ReportAge(endpoint_index index,
                                                steady_time now) const {
  const steady_time reported_at = entries_[index].reported_at;
  if (reported_at == steady_time::min()) return settings_.max_report_age;
  return std::clamp<std::chrono::microseconds>(now - reported_at,
                                               std::chrono::microseconds(0),
                                               settings_.max_report_age);
}

std::uint32_t load_table::LoadBound(endpoint_index index) const {
  return static_cast<std::uint32_t>(
      std::ceil(settings_.load_multiple * ShareOf(index)));
}

// Since the report, about share * completion fraction * age requests of other
// VMs have arrived and as many have completed. The standard deviation of the
// difference is the square root of the sum of both numbers.
std::uint32_t load_table::SafeLoadBound(endpoint_index index,
                                        steady_time now) const {
  const double share = ShareOf(index);
  const double seconds =
      std::chrono::duration<double>(ReportAge(index, now)).count();
  const double own = static_cast<double>(own_in_flight_) /
                     std::max(1.0, static_cast<double>(total_load_));
  const double changed =
      2.0 * share * std::max(0.0, 1.0 - own) * completion_fraction_ * seconds;
  const double margin = settings_.margin_deviations * std::sqrt(changed);
  const double bound = std::ceil(settings_.load_multiple * share - margin);
  return static_cast<std::uint32_t>(std::max(bound, std::ceil(share)));
}

std::uint32_t load_table::ExpectedLoad(endpoint_index index,
                                       steady_time now) const {
  const std::uint32_t estimate = Estimate(index);
  if (ReportAge(index, now) < settings_.max_report_age) return estimate + 1;
  return std::max(estimate, static_cast<std::uint32_t>(ShareOf(index))) + 1;
}

double load_table::WaitPerExcessRequest(endpoint_index index) const {
  if (completion_fraction_ <= 0) return 0.1;
  return 1.0 / (completion_fraction_ * entries_[index].capacity);
}

}  // namespace marjoramsill
