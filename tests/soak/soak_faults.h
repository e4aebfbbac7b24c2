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

/// Draws faults and injects them; several may overlap. At most one control
/// process is lost at a time, and one disk, as the fleet has to bear.
class soak_faults {
 public:
  soak_faults(asio::io_context& io, soak_fleet& fleet, std::uint64_t seed);

  /// Injects one fault that ends by itself.
  void InjectOne();

 private:
  void DisturbNode(soak_node& node);
  void DisturbLink(link_proxy& link);
  void DisturbEndpoint(fake_endpoint& endpoint);
  void After(std::chrono::milliseconds delay, std::function<void()> action);
  std::chrono::milliseconds RandomTime();

  asio::io_context& io_;
  soak_fleet& fleet_;
  std::mt19937_64 random_;
  bool control_is_lost_ = false;
};

}  // namespace marjoramsill::soak

#endif  // MARJORAMSILL_TESTS_SOAK_SOAK_FAULTS_H_
