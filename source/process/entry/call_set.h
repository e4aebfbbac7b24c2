#ifndef MARJORAMSILL_PROCESS_ENTRY_CALL_SET_H_
#define MARJORAMSILL_PROCESS_ENTRY_CALL_SET_H_

#include <cstddef>
#include <memory>
#include <vector>

#include "connection/caller_message.h"
#include "types/steady_time.h"

namespace marjoramsill {

class caller_connection;
class proxied_call;
struct call_environment;

/// The requests in progress of an entry process. Used on the thread of the
/// process only.
class call_set {
 public:
  explicit call_set(const call_environment& environment);
  ~call_set();

  /// Starts a caller's request.
  void Start(const std::shared_ptr<caller_connection>& caller,
             caller_message message);
  /// Starts or refuses a request that another entry VM hands on.
  void StartRelayed(const std::shared_ptr<caller_connection>& caller,
                    caller_message message, bool is_behind);
  /// Checks deadlines and lets requests that wait for a place go on. Call on
  /// every tick.
  void Tick(steady_time now);
  /// Ends all requests. Returns their number.
  std::size_t EndAll();

  std::size_t size() const { return calls_.size(); }
  bool empty() const { return calls_.empty(); }

 private:
  void Run(std::shared_ptr<proxied_call> call);
  void RetryPlaces(steady_time now);
  bool HasRelayRoom() const;

  const call_environment& environment_;
  std::vector<std::shared_ptr<proxied_call>> calls_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_ENTRY_CALL_SET_H_
