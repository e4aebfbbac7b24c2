#ifndef MARJORAMSILL_TESTS_OPERATIONS_FLEET_FIXTURE_H_
#define MARJORAMSILL_TESTS_OPERATIONS_FLEET_FIXTURE_H_

#include <cppunit/TestFixture.h>

#include <asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>

#include "request/http_field.h"
#include "run_ledger.h"
#include "soak_fleet.h"
#include "soak_load.h"

namespace marjoramsill {

/// Real control and entry processes in front of fake endpoints, with the
/// document of soak_load in force.
class fleet_fixture : public CppUnit::TestFixture {
 public:
  void tearDown() override;

 protected:
  /// Starts the fleet and returns once every entry process serves. The caller
  /// sets the size and the first port.
  void StartFleet(soak::soak_settings settings, const std::string& binary,
                  const std::string& folder);
  /// False if `done` does not become true in time.
  bool RunUntil(const std::function<bool()>& done);
  void RunFor(std::chrono::milliseconds duration);
  /// Sends a request to an entry process; `done` receives the status of the
  /// complete response, or 0.
  void Send(std::size_t entry, const std::string& path,
            const std::string& request, http_field_list fields,
            std::function<void(int)> done);
  /// As Send(), and waits for the end of the response.
  int Status(std::size_t entry, const std::string& path,
             const std::string& request, http_field_list fields = {});

  asio::io_context io_;
  soak::run_ledger ledger_;
  std::unique_ptr<soak::soak_fleet> fleet_;
  std::unique_ptr<soak::soak_load> load_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_TESTS_OPERATIONS_FLEET_FIXTURE_H_
