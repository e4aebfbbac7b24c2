#ifndef MARJORAMSILL_PROCESS_CONTROLLER_WATCH_HUB_H_
#define MARJORAMSILL_PROCESS_CONTROLLER_WATCH_HUB_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "process/directory/load_board.h"
#include "process/directory/watch_request.h"
#include "types/ids.h"
#include "types/steady_time.h"

namespace marjoramsill {

class endpoint_directory;

/// Answers the watch requests of entry VMs and other control members as soon
/// as there is news, and knows what each of them has seen. Not thread-safe.
class watch_hub {
 public:
  /// Sends an encoded watch_reply.
  using reply_hook = std::function<void(std::string)>;
  /// Gets true once everyone has seen the change, false after the deadline.
  using seen_hook = std::function<void(bool)>;

  struct sources {
    const endpoint_directory* directory = nullptr;
    /// Newest committed document.
    std::function<document_version()> document;
    /// Members of the control group.
    std::function<std::vector<vm_id>()> members;
  };

  /// `epoch`: random number of this run of the process, not 0.
  watch_hub(sources from, std::uint64_t epoch);

  void OnWatch(const watch_request& request, reply_hook reply, steady_time now);
  /// Load reports that another control process passed on.
  void NoteLoads(const std::vector<shared_load>& loads, steady_time now);
  /// There is news that watchers have to be told at once.
  void Notify(steady_time now);
  /// Answers requests that were held long enough, and checks deadlines.
  void Tick(steady_time now);
  /// Waits until every present watcher has applied a directory change.
  void AwaitSeen(std::uint64_t change, steady_time deadline, seen_hook done,
                 steady_time now);
  /// Entry VMs that were heard from lately.
  std::uint32_t EntryCount(steady_time now) const;

 private:
  struct watcher {
    bool is_entry = false;
    bool wants_loads = false;
    /// Last endpoint whose load it was told.
    endpoint_digest told_load;
    std::uint64_t seen_change = 0;
    document_version document;
    steady_time last_contact;
    steady_time held_since;
    /// Set while a request is held.
    reply_hook reply;
  };
  struct awaited_change {
    std::uint64_t change = 0;
    steady_time deadline;
    seen_hook done;
  };

  bool HasNews(const watcher& each) const;
  void Answer(watcher& each, steady_time now);
  bool IsSeenByAll(std::uint64_t change, steady_time now) const;
  void CheckAwaited(steady_time now);

  const sources from_;
  const std::uint64_t epoch_;
  std::map<vm_id, watcher> watchers_;
  std::vector<awaited_change> awaited_;
  load_board loads_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_CONTROLLER_WATCH_HUB_H_
