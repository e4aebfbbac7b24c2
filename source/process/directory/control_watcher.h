#ifndef MARJORAMSILL_PROCESS_DIRECTORY_CONTROL_WATCHER_H_
#define MARJORAMSILL_PROCESS_DIRECTORY_CONTROL_WATCHER_H_

#include <asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "process/directory/endpoint_record.h"
#include "process/directory/shared_load.h"
#include "process/directory/watch_reply.h"
#include "types/ids.h"
#include "types/steady_time.h"

namespace marjoramsill {

class peer_transport;
struct reachable_member;

/// Keeps one watch request open at every control member, so that a change
/// reaches this process as long as one path to a member that knows it works.
/// Members are found from the seeds. Used from the thread of the I/O context.
class control_watcher {
 public:
  struct hooks {
    std::function<void(const std::vector<endpoint_record>&)> on_records;
    /// A member has a document that is newer than `document` says.
    std::function<void(document_version)> on_newer_document;
    /// A member was lost or regained.
    std::function<void(const vm_id&, bool reachable)> on_contact;
    /// Load reports that other entry VMs passed on.
    std::function<void(const std::vector<shared_load>&)> on_loads;
    /// Load reports of endpoints to this process since the last call.
    std::function<std::vector<shared_load>()> take_loads;
    /// Newest document that this process has.
    std::function<document_version()> document;
    std::function<steady_time()> clock;
  };

  control_watcher(asio::io_context& io, peer_transport& peers, vm_id self,
                  bool is_entry, hooks with);
  ~control_watcher();
  control_watcher(const control_watcher&) = delete;
  control_watcher& operator=(const control_watcher&) = delete;

  void SetSeeds(std::vector<vm_id> seeds);
  /// Starts requests that are due. Call several times a second.
  void Tick(steady_time now);
  /// Asks a member for something else; `done` runs on the I/O context.
  void Ask(const vm_id& member, const std::string& kind, std::string body,
           std::chrono::milliseconds timeout,
           std::function<void(std::optional<std::string>)> done);

  /// Members, this one not included, that answered lately, with the documents
  /// that they announced.
  std::vector<reachable_member> Reachable(steady_time now) const;
  bool HasHadContact() const { return has_had_contact_; }
  std::uint32_t entry_count() const { return entry_count_; }
  const std::vector<vm_id>& members() const { return members_; }

 private:
  struct member_state {
    std::uint64_t epoch = 0;
    std::uint64_t seen_change = 0;
    document_version document;
    bool is_asked = false;
    bool is_reachable = false;
    steady_time next_try;
    steady_time last_contact;
    std::uint32_t failures = 0;
  };

  void Watch(const vm_id& vm, member_state& member);
  bool ExchangesLoadsWith(const vm_id& vm) const;
  void OnReply(const vm_id& vm, const watch_reply& reply);
  void OnNoReply(const vm_id& vm);
  void DropStale(steady_time now);

  asio::io_context& io_;
  peer_transport& peers_;
  const vm_id self_;
  const bool is_entry_;
  const hooks hooks_;
  std::vector<vm_id> seeds_;
  std::vector<vm_id> members_;
  std::map<vm_id, member_state> states_;
  bool has_had_contact_ = false;
  std::uint32_t entry_count_ = 1;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_DIRECTORY_CONTROL_WATCHER_H_
