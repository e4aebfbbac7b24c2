#include "process/controller/controller_metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>

#include <cstddef>
#include <vector>

namespace marjoramsill {
namespace {

/// Upper bounds of the buckets in seconds.
const std::vector<double> kEndSeconds{0.005, 0.02, 0.05, 0.1, 0.2, 0.5, 0.8};

}  // namespace

controller_metrics::controller_metrics() {
  heartbeats_ = registry_.AddCounter("marjoramsill_controller_heartbeats_total",
                                     "Heartbeats of endpoints");
  auto& submissions =
      registry_.AddCounters("marjoramsill_controller_submissions_total",
                            "Routing documents submitted here");
  accepted_ = &submissions.Add({{"outcome", "accepted"}});
  not_accepted_ = &submissions.Add({{"outcome", "not_accepted"}});
  auto& orders =
      registry_.AddCounters("marjoramsill_controller_evacuation_orders_total",
                            "Evacuations ordered or withdrawn here");
  for (std::size_t i = 0; i < orders_.size(); ++i) {
    const auto outcome = static_cast<evacuation_outcome>(i);
    orders_[i] = &orders.Add({{"outcome", EvacuationOutcomeText(outcome)}});
  }
  evacuated_ = registry_.AddGauge("marjoramsill_controller_evacuated_domains",
                                  "Failure domains that are evacuated");
  reads_ = registry_.AddCounter("marjoramsill_controller_reads_total",
                                "Reads of the routing document");
  end_time_ = registry_.AddHistogram(
      "marjoramsill_controller_end_seconds",
      "Time to acknowledge the end of an endpoint", kEndSeconds);
  leads_ = registry_.AddGauge("marjoramsill_controller_leads",
                              "1 if this process leads the control group");
  term_ = registry_.AddGauge("marjoramsill_controller_term",
                             "Election period of the control group");
  members_ = registry_.AddGauge("marjoramsill_controller_members",
                                "Members of the control group");
  voters_ = registry_.AddGauge("marjoramsill_controller_voters",
                               "Members of the control group that vote");
  document_version_ =
      registry_.AddGauge("marjoramsill_controller_document_version",
                         "Newest committed routing document");
  entries_ = registry_.AddGauge("marjoramsill_controller_entries",
                                "Entry processes that watch this one");
  endpoints_ = registry_.AddGauge("marjoramsill_controller_endpoints",
                                  "Endpoints known, ended ones included");
  auto& held_back =
      registry_.AddCounters("marjoramsill_controller_held_back_total",
                            "Updates for watchers that waited for the link");
  for (std::size_t i = 0; i < kLinkUses; ++i) {
    held_back_[i] =
        &held_back.Add({{"use", LinkUseText(static_cast<link_use>(i))}});
  }
  dropped_lines_ = registry_.AddGauge("marjoramsill_controller_dropped_lines",
                                      "Log lines dropped since the start");
}

controller_metrics::~controller_metrics() = default;

void controller_metrics::CountHeartbeat() { heartbeats_->Increment(); }

void controller_metrics::CountSubmission(bool accepted) {
  (accepted ? accepted_ : not_accepted_)->Increment();
}

void controller_metrics::CountOrder(evacuation_outcome outcome) {
  orders_[static_cast<std::size_t>(outcome)]->Increment();
}

void controller_metrics::SetEvacuated(std::size_t domains) {
  evacuated_->Set(static_cast<double>(domains));
}

void controller_metrics::CountRead() { reads_->Increment(); }

void controller_metrics::ObserveEnd(double seconds) {
  end_time_->Observe(seconds);
}

void controller_metrics::SetGroup(bool leads, std::uint64_t term,
                                  std::size_t members, std::size_t voters) {
  leads_->Set(leads ? 1 : 0);
  term_->Set(static_cast<double>(term));
  members_->Set(static_cast<double>(members));
  voters_->Set(static_cast<double>(voters));
}

void controller_metrics::SetDocumentVersion(std::uint64_t version) {
  document_version_->Set(static_cast<double>(version));
}

void controller_metrics::SetEntries(std::size_t count) {
  entries_->Set(static_cast<double>(count));
}

void controller_metrics::SetEndpoints(std::size_t count) {
  endpoints_->Set(static_cast<double>(count));
}

void controller_metrics::SetHeldBack(
    const std::array<std::uint64_t, kLinkUses>& counts) {
  for (std::size_t i = 0; i < kLinkUses; ++i) {
    const double added =
        static_cast<double>(counts[i]) - held_back_[i]->Value();
    held_back_[i]->Increment(added);
  }
}

void controller_metrics::SetDroppedLines(std::uint64_t count) {
  dropped_lines_->Set(static_cast<double>(count));
}

}  // namespace marjoramsill
