#ifndef MARJORAMSILL_COMMANDS_LOAD_RUN_H_
#define MARJORAMSILL_COMMANDS_LOAD_RUN_H_

#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>

#include "commands/load_plan.h"
#include "commands/load_result.h"
#include "connection/endpoint_client.h"

namespace marjoramsill {

/// One run of the load command. It generates open-loop load and verifies that
/// every response is complete, without duplicates, and belongs to its request.
class load_run {
 public:
  explicit load_run(load_plan plan);
  ~load_run();
  load_run(const load_run&) = delete;
  load_run& operator=(const load_run&) = delete;

  load_result Run();

 private:
  /// One request with the state of its response.
  struct request;

  std::shared_ptr<request> MakeChat();
  std::shared_ptr<request> MakeBooking();
  rank PickRank();
  std::string PickWorkspace();
  void Send(const std::shared_ptr<request>& sent, std::size_t vm);
  void Finish(const std::shared_ptr<request>& sent, bool is_complete);
  void CheckChat(const request& sent, load_rank_result& result);
  void CheckBooking(const request& sent, load_rank_result& result);
  void CheckRuns();

  const load_plan plan_;
  std::mt19937_64 random_;
  std::map<std::uint32_t, std::uint32_t> turns_;
  std::mutex mutex_;
  std::condition_variable all_finished_;
  std::size_t pending_requests_ = 0;
  load_result result_;
  /// Bookings by key: whether every response so far said "not run".
  std::map<std::string, bool> all_not_run_;
  endpoint_client client_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_COMMANDS_LOAD_RUN_H_
