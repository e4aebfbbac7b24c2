#ifndef MARJORAMSILL_COMMANDS_LOAD_PLAN_H_
#define MARJORAMSILL_COMMANDS_LOAD_PLAN_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace marjoramsill {

/// Parameters of the load command.
struct load_plan {
  /// Caller addresses of entry VMs, IP:PORT.
  std::vector<std::string> callers;
  /// Addresses of fake endpoints that are queried after the run for how often
  /// each non-repeatable call ran.
  std::vector<std::string> run_reports;
  std::vector<std::string> workspaces;
  std::string model;
  /// Service and path of non-repeatable calls; none are sent if `service` is
  /// empty.
  std::string service;
  std::string service_path = "/bookings";
  /// Requests per second. The send times are fixed in advance, so that a stall
  /// of the fleet shows up in the latency of every delayed request.
  double rate = 50;
  std::chrono::seconds duration{10};
  std::uint32_t chats = 200;
  std::uint32_t tokens = 16;
  double urgent_share = 0.2;
  double background_share = 0.2;
  double booking_share = 0.1;
  /// Share of bookings that are sent again through another entry VM.
  double repeat_share = 0.2;
  std::chrono::milliseconds deadline{10'000};
  std::uint64_t seed = 1;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_COMMANDS_LOAD_PLAN_H_
