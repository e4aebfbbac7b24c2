#ifndef MARJORAMSILL_PROCESS_ENTRY_RELAY_FINDER_H_
#define MARJORAMSILL_PROCESS_ENTRY_RELAY_FINDER_H_

#include <functional>

#include "types/random_source.h"
#include "types/steady_time.h"

namespace marjoramsill {

class control_watcher;
class relay_table;

/// Asks the control processes which entry VMs have links to endpoints: now and
/// then, so that some are known when this VM loses its own, and often while
/// they are needed.
class relay_finder {
 public:
  relay_finder(control_watcher& members, relay_table& relays,
               random_source random, std::function<steady_time()> clock);

  /// `is_needed`: links of this VM are lost, or requests find no other VM. Call
  /// on every tick.
  void Tick(bool is_needed, steady_time now);

 private:
  void Ask(steady_time now);

  control_watcher& members_;
  relay_table& relays_;
  const random_source random_;
  const std::function<steady_time()> clock_;
  bool is_asking_ = false;
  steady_time last_asked_;
  steady_time last_answer_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_ENTRY_RELAY_FINDER_H_
