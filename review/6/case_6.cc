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

struct outcome {
  std::vector<std::string> first;
  http_answer second;
  bool is_taken_up = false;
};

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

  void Client(int number) {
    const std::string request = "c" + std::to_string(number);
    const http_answer first =
        Call(fleet_.Entry(OtherEntry(number)), "POST", "/chat/" + request,
             StreamFields(request, number), "prompt", kPatience);
    outcome result;
    result.first = EventData(first.body);
    record_.Write("client " + request + " gets " +
                  std::to_string(first.status) + " with " +
                  std::to_string(result.first.size()) + " events of " +
                  Versions(result.first) +
                  (first.is_complete ? ", complete" : ", broken off"));
    if (first.status == 200 && !first.is_complete && !result.first.empty()) {
      TakeUp(number, request, result);
    }
    const std::lock_guard lock(mutex_);
    outcomes_.push_back(result);
  }

  /// One of the entry processes that never stand still.
  static int OtherEntry(int number) { return 1 + number % (kEntries - 1); }

  void TakeUp(int number, const std::string& request, outcome& result) {
    const std::string again = "again-" + request;
    field_map fields = StreamFields(again, number);
    fields["Resumes"] = request;
    fields["Last-Event-Id"] = std::to_string(result.first.size());
    result.is_taken_up = true;
    const int turn = next_turn_++;
    const int entry = turn % 2 == 0 ? 0 : OtherEntry(turn);
    result.second = Call(fleet_.Entry(entry), "POST", "/chat/" + request,
                         fields, "prompt", kPatience);
    const auto events = EventData(result.second.body);
    record_.Write("client " + request + " takes its stream up as " + again +
                  " at entry " + fleet_.EntryIp(entry) + ", gets " +
                  std::to_string(result.second.status) + " with " +
                  std::to_string(events.size()) + " events of " +
                  Versions(events));
  }

  /// The software versions that the events name.
  static std::string Versions(const std::vector<std::string>& events) {
    std::set<std::string> versions;
    for (const std::string& each : events) {
      versions.insert(each.substr(0, each.find('/')));
    }
    std::string text;
    for (const std::string& each : versions) {
      text += (text.empty() ? "" : "+") + each;
    }
    return text.empty() ? "none" : text;
  }

  int Judge() {
    int taken_up = 0;
    int mixed = 0;
    for (const outcome& each : outcomes_) {
      std::vector<std::string> all = each.first;
      const auto more = EventData(each.second.body);
      all.insert(all.end(), more.begin(), more.end());
      taken_up += each.is_taken_up ? 1 : 0;
      mixed += Versions(all).find('+') != std::string::npos ? 1 : 0;
    }
    const bool all_run = fleet_.AllRun();
    record_.Write(std::to_string(taken_up) + " streams were taken up, " +
                  std::to_string(mixed) +
                  " streams hold events of two software versions");
    if (taken_up <= kExcused || !all_run) {
      return Fail("too few streams were broken off");
    }
    std::cout << "streams with events of two versions: " << mixed << " of "
              << taken_up << " that were taken up" << std::endl;
    return mixed > kExcused ? 1 : 0;
  }

  static constexpr milliseconds kPatience{15'000};

  run_record& record_;
  fleet fleet_;
  std::atomic<int> next_turn_{0};
  std::mutex mutex_;
  std::vector<outcome> outcomes_;
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
