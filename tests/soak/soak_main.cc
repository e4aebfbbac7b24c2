#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <boost/program_options.hpp>
#include <chrono>
#include <csignal>
#include <filesystem>
#include <functional>
#include <iostream>
#include <memory>
#include <string>

#include "soak_faults.h"
#include "soak_fleet.h"
#include "soak_load.h"

namespace marjoramsill::soak {
namespace {

using std::chrono::milliseconds;
namespace options = boost::program_options;

constexpr milliseconds kFounding{2'500};
/// After the last fault all must be well again within this time.
constexpr milliseconds kRecovery{9'000};
constexpr milliseconds kRequestPause{12};
constexpr milliseconds kFaultPause{700};
constexpr milliseconds kDocumentPause{400};
constexpr milliseconds kCheckPause{50};
/// Requests that must be served after the recovery, of those sent.
constexpr double kServedShare = 0.95;

/// Repeats an action until the end of a phase.
class repeated {
 public:
  repeated(asio::io_context& io, milliseconds pause,
           std::function<void()> action)
      : timer_(io), pause_(pause), action_(std::move(action)) {
    Schedule();
  }

 private:
  void Schedule() {
    timer_.expires_after(pause_);
    timer_.async_wait([this](std::error_code error) {
      if (error) return;
      action_();
      Schedule();
    });
  }

  asio::steady_timer timer_;
  const milliseconds pause_;
  const std::function<void()> action_;
};

struct soak_run {
  soak_settings fleet;
  std::uint64_t seed = 1;
  milliseconds length{10'000};
};

void CheckEnd(const soak_load& load, int sent_before, int served_before,
              run_ledger& ledger) {
  const int sent = load.sent() - sent_before;
  const int served = load.served() - served_before;
  std::cout << "after the faults: " << served << " of " << sent << " served\n";
  if (served < kServedShare * sent) {
    ledger.NoteViolation("not recovered: " + std::to_string(served) + " of " +
                         std::to_string(sent) + " served");
  }
  ledger.CheckRuns(kOncePrefix);
}

int Run(const soak_run& run) {
  asio::io_context io;
  run_ledger ledger;
  soak_fleet fleet(io, run.fleet, ledger);
  soak_load load(io, fleet, ledger, run.seed);
  soak_faults faults(io, fleet, run.seed + 1);
  fleet.Start();
  repeated checks(io, kCheckPause, [&] { fleet.CheckNodes(); });
  load.SubmitDocument();
  io.run_for(kFounding);
  repeated requests(io, kRequestPause, [&] { load.SendRequest(); });
  repeated documents(io, kDocumentPause, [&] {
    load.SubmitDocument();
    load.ReadDocument();
  });
  {
    repeated injecting(io, kFaultPause, [&] { faults.InjectOne(); });
    io.run_for(run.length);
  }
  fleet.Heal();
  io.run_for(kRecovery);
  fleet.Heal();
  io.run_for(milliseconds(1'000));
  const int sent = load.sent();
  const int served = load.served();
  io.run_for(milliseconds(3'000));
  CheckEnd(load, sent, served, ledger);
  for (const std::string& text : ledger.violations()) {
    std::cout << "VIOLATION seed=" << run.seed << " " << text << "\n";
  }
  std::cout << "seed=" << run.seed << " sent=" << load.sent()
            << " served=" << load.served()
            << " documents=" << load.acknowledged()
            << " violations=" << ledger.violations().size() << "\n";
  return ledger.violations().empty() ? 0 : 1;
}

int Main(int argc, char** argv) {
  soak_run run;
  int seconds = 10;
  options::options_description described("Options");
  described.add_options()("help", "show this page")(
      "binary", options::value(&run.fleet.binary)->required(),
      "program under test")("folder",
                            options::value(&run.fleet.folder)->required(),
                            "empty folder for settings, data and logs")(
      "seed", options::value(&run.seed), "seed of load and faults")(
      "seconds", options::value(&seconds), "length of the faults in seconds")(
      "port", options::value(&run.fleet.port), "first port")(
      "entries", options::value(&run.fleet.entry_processes), "entry processes")(
      "controls", options::value(&run.fleet.control_processes),
      "control processes")("endpoints", options::value(&run.fleet.endpoints),
                           "fake endpoints");
  options::variables_map values;
  options::store(options::parse_command_line(argc, argv, described), values);
  if (values.count("help") != 0) {
    std::cout << described;
    return 0;
  }
  options::notify(values);
  run.length = std::chrono::seconds(seconds);
  std::signal(SIGPIPE, SIG_IGN);
  std::filesystem::remove_all(run.fleet.folder);
  std::filesystem::create_directories(run.fleet.folder);
  return Run(run);
}

}  // namespace
}  // namespace marjoramsill::soak

int main(int argc, char** argv) {
  try {
    return marjoramsill::soak::Main(argc, argv);
  } catch (const std::exception& error) {
    std::cerr << "soak: " << error.what() << "\n";
    return 2;
  }
}
