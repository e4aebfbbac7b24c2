// One part of a prompt crashes servers while nobody else uses the part before
// it for some seconds. Then sound requests with that first part come again.
#include "../standins-3/stage.h"

namespace {

using stage::NowMs;
using stage::SleepMs;

constexpr int kServers = 8;
constexpr std::int64_t kContactMs = 3'000;
constexpr std::int64_t kBackMs = 2'500;
constexpr std::int64_t kSoundIntervalMs = 200;
constexpr std::int64_t kCrashIntervalMs = 400;
constexpr std::size_t kCrashes = 5;
constexpr int kLeast = 20;

class scene {
 public:
  scene(stage::record& log, stage::fleet& fleet) : log_(log), fleet_(fleet) {
    for (int i = 0; i < kServers; ++i) {
      crash_due_[i] = false;
      servers_.push_back(std::make_unique<stage::server>(
          fleet, log, "i-sill" + std::to_string(i), "sill", i,
          [this, i](auto& self, const auto& got, int handle) {
            return Answer(i, self, got, handle);
          }));
    }
  }
  ~scene() {
    is_over_ = true;
    if (keeper_.joinable()) keeper_.join();
  }
  bool Start() {
    for (const auto& each : servers_) {
      if (!each->Start()) return false;
    }
    keeper_ = std::thread([this] { Keep(); });
    return true;
  }
  /// A client. Every request has a last part of its own.
  bool Send(const std::string& parts, const std::string& what) {
    const int number = ++number_;
    const std::string id = what + std::to_string(number);
    char last[16];
    std::snprintf(last, sizeof(last), "%08x",
                  0x70000000U + static_cast<unsigned>(number));
    const auto entries = fleet_.Entries();
    const auto& entry =
        *entries[static_cast<std::size_t>(number) % entries.size()];
    const auto got = stage::Call(
        fleet_.Callers(entry),
        stage::RequestText("POST", "/wear/" + id, "desk.example",
                           {{"Attempt-Id", id},
                            {"Deadline-Ms", "3000"},
                            {"Credential", "key-one"},
                            {"Model", "m"},
                            {"Token-Usage", "1000,20"},
                            {"Prompt-Prefix", parts + "," + last + ":100"}},
                           "question " + id),
        3'100);
    log_.Line("client %s [%s] at %s: %d %s", id.c_str(), parts.c_str(),
              entry.name.c_str(), got.status,
              got.is_complete ? "complete" : "");
    return got.status == 200;
  }
  std::vector<std::int64_t> Crashes() {
    const std::lock_guard lock(mutex_);
    return crashes_;
  }

 private:
  bool Answer(int index, stage::server& self, const stage::request& got,
              int handle) {
    if (got.fields.Field("Prompt-Prefix").find("badbad01") !=
        std::string::npos) {
      {
        const std::lock_guard lock(mutex_);
        crashes_.push_back(NowMs());
      }
      log_.Line("server %s runs %s and crashes", self.id().c_str(),
                got.Id().c_str());
      crash_due_[index] = true;
      while (self.is_up()) SleepMs(1);
      return false;
    }
    SleepMs(20);
    std::string body;
    for (int i = 1; i <= 4; ++i) {
      body += "id: " + std::to_string(i) + "\ndata: token\n\n";
    }
    return stage::server::Reply(handle, "200 OK",
                                {{"Attempt-Id", got.Id()},
                                 {"Server-Signature", "s"},
                                 {"Server-Load", "1,0,16"},
                                 {"Content-Type", "text/event-stream"}},
                                body);
  }
  /// Crashes servers, and starts them again some seconds later.
  void Keep() {
    std::map<int, std::int64_t> back;
    while (!is_over_) {
      for (int i = 0; i < kServers; ++i) {
        if (crash_due_[i].exchange(false)) {
          servers_[i]->Crash();
          back[i] = NowMs() + kBackMs;
        }
        if (back.contains(i) && NowMs() >= back[i]) {
          back.erase(i);
          servers_[i]->Start();
        }
      }
      SleepMs(2);
    }
  }

  stage::record& log_;
  stage::fleet& fleet_;
  std::atomic<bool> crash_due_[kServers];
  std::vector<std::unique_ptr<stage::server>> servers_;
  std::thread keeper_;
  std::atomic<bool> is_over_{false};
  std::mutex mutex_;
  std::vector<std::int64_t> crashes_;
  std::atomic<int> number_{0};
};

struct share {
  int sent = 0;
  int begun = 0;
};

share SendSound(scene& play, std::int64_t duration) {
  share counted;
  for (const std::int64_t end = NowMs() + duration; NowMs() < end;
       SleepMs(kSoundIntervalMs)) {
    ++counted.sent;
    counted.begun += play.Send("5c1e07a2:500,91bd3f06:300", "sound") ? 1 : 0;
  }
  return counted;
}

}  // namespace

int main(int, char** arguments) {
  const bool has_trouble = stage::HasTrouble();
  stage::record log(arguments[1]);
  stage::fleet fleet(log, 3, 3);
  fleet.StartAll(true);
  scene play(log, fleet);
  if (!play.Start() ||
      !fleet.Submit(
          stage::Config(7, {{"/wear/", "streaming", "sill", 1, false, true}},
                        {"sill"}),
          10'000) ||
      !fleet.AwaitReady(10'000)) {
    return stage::kNotRun;
  }
  SleepMs(3'000);
  const share before = SendSound(play, 12'000);
  // Nobody uses the first part for a while.
  SleepMs(5'000);
  std::atomic<bool> is_over{false};
  std::thread crashing([&] {
    while (has_trouble && !is_over) {
      play.Send("5c1e07a2:500,badbad01:300", "crash");
      SleepMs(kCrashIntervalMs);
    }
  });
  const std::int64_t most = NowMs() + 15'000;
  while (has_trouble && play.Crashes().size() < kCrashes && NowMs() < most)
    SleepMs(10);
  const auto crashes = play.Crashes();
  // The fifth crash, or the last if there are fewer.
  if (crashes.size() < kCrashes) SleepMs(1'000);
  while (!crashes.empty() &&
         NowMs() <
             crashes[std::min(crashes.size(), kCrashes) - 1] + 2 * kContactMs) {
    SleepMs(10);
  }
  const share after = SendSound(play, 30'000);
  is_over = true;
  crashing.join();
  const auto report = [&log](const char* name, const share& each) {
    log.Line("sound requests %s: sent %d, begun at the first attempt %d", name,
             each.sent, each.begun);
    std::printf("sound requests %s: sent %d, begun at the first attempt %d\n",
                name, each.sent, each.begun);
  };
  report("before", before);
  report("from 2 x contactMs after the fifth crash", after);
  std::printf("crashes %zu\n", play.Crashes().size());
  log.Line("crashes %zu", play.Crashes().size());
  if (before.sent < kLeast || after.sent < kLeast) return stage::kNotRun;
  const double share_before = static_cast<double>(before.begun) / before.sent;
  const double share_after = static_cast<double>(after.begun) / after.sent;
  return share_after < share_before / 2 ? stage::kBroken : stage::kHeld;
}
