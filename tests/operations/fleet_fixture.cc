#include "fleet_fixture.h"

#include <cppunit/TestAssert.h>

#include <filesystem>
#include <optional>
#include <utility>

#include "http_call.h"
#include "platform/field_names.h"

namespace marjoramsill {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kWaitTimeout{20'000};
constexpr milliseconds kCallerTimeout{3'000};
constexpr int kStatusOk = 200;

}  // namespace

void fleet_fixture::StartFleet(soak::soak_settings settings,
                               const std::string& binary,
                               const std::string& folder) {
  std::filesystem::remove_all(folder);
  std::filesystem::create_directories(folder);
  settings.binary = binary;
  settings.folder = folder;
  fleet_ = std::make_unique<soak::soak_fleet>(io_, settings, ledger_);
  load_ = std::make_unique<soak::soak_load>(io_, *fleet_, ledger_, 1);
  fleet_->Start();
  load_->SubmitDocument();
  int number = 0;
  for (std::size_t entry = 0; entry < fleet_->EntryNodes().size(); ++entry) {
    CPPUNIT_ASSERT(RunUntil([&] {
      return Status(entry, "/look/", "try-" + std::to_string(++number)) ==
             kStatusOk;
    }));
  }
}

void fleet_fixture::tearDown() {
  load_.reset();
  fleet_.reset();
}

bool fleet_fixture::RunUntil(const std::function<bool()>& done) {
  const auto end = std::chrono::steady_clock::now() + kWaitTimeout;
  while (!done()) {
    if (std::chrono::steady_clock::now() > end) return false;
    io_.restart();
    io_.run_for(milliseconds(1));
  }
  return true;
}

void fleet_fixture::RunFor(milliseconds duration) {
  const auto end = std::chrono::steady_clock::now() + duration;
  RunUntil([end] { return std::chrono::steady_clock::now() > end; });
}

void fleet_fixture::Send(std::size_t entry, const std::string& path,
                         const std::string& request, http_field_list fields,
                         std::function<void(int)> done) {
  fields.push_back({platform::kRequestId, request});
  fields.push_back({platform::kRemainingMs, "2500"});
  soak::Call(io_, fleet_->EntryNodes()[entry]->callers,
             soak::RequestText("POST", path + request, fields, "body"),
             kCallerTimeout,
             [done = std::move(done)](
                 const std::optional<soak::http_response>& response) {
               done(response ? response->head.status : 0);
             });
}

int fleet_fixture::Status(std::size_t entry, const std::string& path,
                          const std::string& request, http_field_list fields) {
  auto status = std::make_shared<std::optional<int>>();
  Send(entry, path, request, std::move(fields),
       [status](int received) { *status = received; });
  CPPUNIT_ASSERT(RunUntil([&] { return status->has_value(); }));
  return **status;
}

}  // namespace marjoramsill
