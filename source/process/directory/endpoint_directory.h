#ifndef MARJORAMSILL_PROCESS_DIRECTORY_ENDPOINT_DIRECTORY_H_
#define MARJORAMSILL_PROCESS_DIRECTORY_ENDPOINT_DIRECTORY_H_

#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

#include "process/directory/directory_settings.h"
#include "process/directory/endpoint_record.h"
#include "types/steady_time.h"

namespace marjoramsill {

/// The endpoints that one process knows, from heartbeats and from the
/// directories of other processes. Each change gets a number, so that a reader
/// can ask for what it has not seen. Merging is idempotent and independent of
/// the order of arrival: the newest life and heartbeat of an endpoint decides.
class endpoint_directory {
 public:
  explicit endpoint_directory(directory_settings settings = {});

  /// A heartbeat that the endpoint sent to this process. True if others have
  /// to be told soon.
  bool Hear(const endpoint_record& record, steady_time now);
  /// The endpoint said that it ends. If it is not known here, all of its lives
  /// up to `wall_now` end, by the clock of this VM in Unix milliseconds: others
  /// may know it. True if others have to be told.
  bool End(const endpoint_id& id, incarnation wall_now, steady_time now);
  /// A record that another process reported. True if it was news.
  bool Merge(const endpoint_record& record, steady_time now);
  /// Marks endpoints that were heard here and have fallen silent, and forgets
  /// old ones. True if others have to be told.
  bool Expire(steady_time now);

  /// Number of the last change.
  std::uint64_t last_change() const { return last_change_; }
  /// Records that changed after that number, in the order of their changes.
  std::vector<endpoint_record> ChangesAfter(std::uint64_t change) const;
  const endpoint_record* Find(const endpoint_id& id) const;
  std::size_t size() const { return entries_.size(); }

 private:
  struct entry {
    endpoint_record record;
    std::uint64_t change = 0;
    /// Heard by this process itself; only then it may call it silent.
    bool heard_here = false;
    steady_time heard_at;
  };

  bool Store(const endpoint_record& record, bool heard_here, steady_time now);
  void NoteChange(entry& changed);
  /// An address serves one endpoint at a time: the one that was born last.
  void EndOthersAt(const endpoint_record& record, steady_time now);
  bool ForgetsAt(const entry& old, steady_time now) const;

  const directory_settings settings_;
  std::unordered_map<endpoint_id, entry> entries_;
  std::map<std::uint64_t, endpoint_id> changes_;
  std::uint64_t last_change_ = 0;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_DIRECTORY_ENDPOINT_DIRECTORY_H_
