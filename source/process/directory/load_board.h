#ifndef MARJORAMSILL_PROCESS_DIRECTORY_LOAD_BOARD_H_
#define MARJORAMSILL_PROCESS_DIRECTORY_LOAD_BOARD_H_

#include <map>
#include <vector>

#include "process/directory/shared_load.h"
#include "types/steady_time.h"

namespace marjoramsill {

/// The newest load report of each endpoint, gathered by a control process from
/// the entry VMs that watch it and from the other control processes. Not
/// thread-safe.
class load_board {
 public:
  /// Who passed a report on. Reports of other control processes are not passed
  /// to control processes again, so none goes round in circles.
  enum class source { kEntry, kController };

  void Note(const std::vector<shared_load>& loads, source from,
            steady_time now);
  /// Recent reports after `cursor` in a fixed circular order, a bounded number
  /// of them; moves the cursor to the last one. Repeated calls go round.
  std::vector<shared_load> Collect(endpoint_digest& cursor,
                                   bool from_entries_only,
                                   steady_time now) const;
  void Expire(steady_time now);
  std::size_t size() const { return loads_.size(); }

 private:
  struct noted_load {
    load_report report;
    steady_time measured_at;
    source from = source::kEntry;
  };

  std::map<endpoint_digest, noted_load> loads_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_DIRECTORY_LOAD_BOARD_H_
