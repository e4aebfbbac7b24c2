#ifndef MARJORAMSILL_PROCESS_DIRECTORY_LOAD_REPORT_STORE_H_
#define MARJORAMSILL_PROCESS_DIRECTORY_LOAD_REPORT_STORE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "process/directory/shared_load.h"
#include "types/steady_time.h"

namespace marjoramsill {

/// Stores the newest load report of each endpoint. A control process collects
/// them from the entry VMs that watch it and from other control processes. Not
/// thread-safe.
class load_report_store {
 public:
  /// Sender of a report. Reports from a control process are not forwarded to
  /// other control processes, which prevents forwarding loops.
  enum class source { kEntry, kController };

  /// Stores the reports that are newer than the stored ones.
  void Record(const std::vector<shared_load>& loads, source from,
              steady_time now);
  /// Returns a bounded number of recent reports that follow `cursor` in a fixed
  /// circular order, and moves the cursor to the last one, so that repeated
  /// calls return all reports in turn.
  std::vector<shared_load> Collect(endpoint_digest& cursor,
                                   bool from_entries_only,
                                   steady_time now) const;
  /// Removes reports that are too old to be used.
  void Expire(steady_time now);
  std::size_t size() const { return loads_.size(); }

 private:
  struct stored_load {
    load_report report;
    std::optional<double> limit;
    std::optional<std::uint32_t> refusal_limit;
    std::optional<duration_sample> sample;
    steady_time measured_at;
    source from = source::kEntry;
  };

  std::map<endpoint_digest, stored_load> loads_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_DIRECTORY_LOAD_REPORT_STORE_H_
