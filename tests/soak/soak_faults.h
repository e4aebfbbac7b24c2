#ifndef MARJORAMSILL_TESTS_SOAK_SOAK_FAULTS_H_
#define MARJORAMSILL_TESTS_SOAK_SOAK_FAULTS_H_

#include <asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <random>
#include <string>

#include "soak_fleet.h"

namespace marjoramsill::soak {

/// Injects random faults, which may overlap. At most one control process, with
/// its disk, is down at a time, since the fleet is specified to tolerate that.
class soak_faults {
 public:
  soak_faults(asio::io_context& io, soak_fleet& fleet, std::uint64_t seed);

  /// Injects one random fault that ends by itself.
  void InjectFault();

 private:
  void InjectNodeFault(soak_node& node);
  void InjectLinkFault(link_proxy& link);
  void InjectEndpointFault(fake_endpoint& endpoint);
  /// The endpoint is silent for longer than an entry process waits, and the
  /// others refuse what is sent to them instead.
  void FallSilent(fake_endpoint& endpoint);
  /// Cuts some entry processes off from all endpoints.
  void CutEntries();
  /// Kills all entry processes and starts them again, with other software at
  /// some endpoints just before.
  void RestartEntries();
  /// The endpoint starts again under its id, with the other software.
  void ReplaceSoftware(fake_endpoint& endpoint);
  void RunAfter(std::chrono::milliseconds delay, std::function<void()> action);
  std::chrono::milliseconds RandomDuration();

  asio::io_context& io_;
  soak_fleet& fleet_;
  std::mt19937_64 random_;
  bool is_control_down_ = false;
  bool is_entry_cut_ = false;
};

}  // namespace marjoramsill::soak

#endif  // MARJORAMSILL_TESTS_SOAK_SOAK_FAULTS_H_
