#include <algorithm>
#include <csignal>
#include <iostream>
#include <memory>
#include <mutex>

#include "stand_in.h"

// One entry process stands still for three seconds. Meanwhile a server of a new
// software version joins, streams begin on it through the other entry
// processes, and it signs off. Once it has exited, the clients take their
// streams up, half of them at the entry process that stood still.

namespace review {
namespace {

constexpr int kEntries = 6;
constexpr int kStreams = 48;
/// More mixed streams than the rule excuses.
constexpr int kExcused = 2;

class play {
 public:
  explicit play(run_record& record)
      : record_(record), fleet_(record, 3, kEntries) {}

  int Run() {
    if (!fleet_.Start(StreamDocument(1)))
      return Fail("the fleet did not start");
    stream_server one(fleet_, record_, fleet_.Server(1),
                      {"i-1", "llm", "v1", kEvents, kInterval});
    stream_server two(fleet_, record_, fleet_.Server(2),
                      {"i-2", "llm", "v1", kEvents, kInterval});
    // Longer than the time limit of the route.
    Pause(milliseconds(14'000));
    if (HasTrouble()) Freeze(SIGSTOP);
    Pause(milliseconds(1'300));
    auto joined = std::make_unique<stream_server>(
        fleet_, record_, fleet_.Server(3),
        stream_server::settings{"i-3", "llm", "v2", kEvents, kInterval});
    Pause(milliseconds(600));
    std::vector<std::thread> clients;
    for (int i = 0; i < kStreams; ++i) {
      clients.emplace_back([this, i] { Client(i); });
    }
    Pause(milliseconds(600));
    joined->StopHeartbeats();
    const int acknowledged = Call(fleet_.Control(0), "DELETE", "/instances/i-3",
                                  {}, "", milliseconds(1'000))
                                 .status;
    record_.Write("server i-3 signs off, gets " + std::to_string(acknowledged));
    const auto exit = std::chrono::steady_clock::now() + kServesOn;
    Pause(milliseconds(500));
    if (HasTrouble()) Freeze(SIGCONT);
    std::this_thread::sleep_until(exit);
    joined->End();
    for (std::thread& each : clients) each.join();
    if (acknowledged != 200) return Fail("the sign-off was not acknowledged");
    return Judge();
  }

 private:
  static constexpr int kEvents = 30;
  static constexpr milliseconds kInterval{250};
  /// drainMs, and a little longer.
  static constexpr milliseconds kServesOn{2'300};

  int Fail(const std::string& reason) {
    record_.Write("could not run: " + reason);
    return 2;
  }

  void Freeze(int signal) {
    record_.Write(std::string("platform ") +
                  (signal == SIGSTOP ? "freezes" : "wakes") + " entry " +
                  fleet_.EntryIp(0));
    fleet_.Signal(fleet_.EntryIp(0), signal);
  }

  /// One of the entry processes that never stand still.
  static int OtherEntry(int number) { return 1 + number % (kEntries - 1); }

  void Client(int number) {
    const stream_outcome result =
        PlayStream(record_, number, fleet_.Entry(OtherEntry(number)), [this] {
          const int turn = next_turn_++;
          return fleet_.Entry(turn % 2 == 0 ? 0 : OtherEntry(turn));
        });
    const std::lock_guard lock(mutex_);
    taken_up_ += result.is_taken_up ? 1 : 0;
    mixed_ += result.IsMixed() ? 1 : 0;
  }

  int Judge() {
    const bool all_run = fleet_.AllRun();
    record_.Write(std::to_string(taken_up_) + " streams were taken up, " +
                  std::to_string(mixed_) +
                  " streams hold events of two software versions");
    if (taken_up_ <= kExcused || !all_run) {
      return Fail("too few streams were broken off");
    }
    std::cout << "streams with events of two versions: " << mixed_ << " of "
              << taken_up_ << " that were taken up" << std::endl;
    return mixed_ > kExcused ? 1 : 0;
  }

  run_record& record_;
  fleet fleet_;
  std::atomic<int> next_turn_{0};
  std::mutex mutex_;
  int taken_up_ = 0;
  int mixed_ = 0;
};

}  // namespace
}  // namespace review

int main(int /*count*/, char** words) {
  try {
    review::run_record record(words[1]);
    return review::play(record).Run();
  } catch (const std::exception& error) {
    std::cerr << error.what() << std::endl;
    return 2;
  }
}
