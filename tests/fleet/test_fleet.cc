#include "test_fleet.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cppunit/TestAssert.h>
#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <thread>

namespace marjoramsill {
namespace {

using json = nlohmann::json;

constexpr std::chrono::seconds kWaitTimeout{30};
const std::vector<std::string> kDomains = {"perth", "bunbury", "kalgoorlie"};

std::string DomainOf(int number) {
  return kDomains.at(static_cast<std::size_t>(number - 1) % kDomains.size());
}

std::string ReadAll(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

void WriteAll(const std::string& path, const std::string& text) {
  std::ofstream(path, std::ios::binary) << text;
}

int ExitStatus(int status) {
  return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

secret_key FixedKey(std::uint8_t fill) {
  secret_key key{};
  key.fill(fill);
  return key;
}

}  // namespace

test_fleet::test_fleet(int memory_mb) : memory_mb_(memory_mb) {
  std::string pattern = std::filesystem::temp_directory_path() / "fleet-XXXXXX";
  folder_ = mkdtemp(pattern.data());
  const secret_key root = FixedKey(1);
  root_key_ = PublicKeyToText(PublicKeyOf(root).assume_value());
  WriteAll(folder_ + "/root.pem", SecretKeyToPem(root).assume_value());
  WriteAll(folder_ + "/operators.pem",
           SecretKeyToPem(FixedKey(2)).assume_value());
  for (int i = 1; i <= kVms; ++i) {
    WriteAll(folder_ + "/" + VmName(i) + ".yaml", SettingsOf(i));
  }
}

test_fleet::~test_fleet() {
  while (!processes_.empty()) Kill(processes_.begin()->first);
  std::error_code ignored;
  std::filesystem::remove_all(folder_, ignored);
}

std::string test_fleet::SettingsOf(int number) const {
  std::ostringstream text;
  text << "vm: " << VmName(number) << "\nfailure_domain: " << DomainOf(number)
       << "\ncallers: " << Callers(number) << "\ncontrol: " << Control(number)
       << "\npeers: 127.0.0.1:730" << number << "\nroot_key: " << root_key_
       << "\nsettle_ms: 300\n";
  if (memory_mb_ > 0) text << "memory_mb: " << memory_mb_ << "\n";
  if (number < kVms)
    text << "data_folder: " << folder_ << "/d" << number << "\n";
  text << "fleet:\n";
  for (int i = 1; i <= kVms; ++i) {
    text << "  - {vm: " << VmName(i) << ", failure_domain: " << DomainOf(i)
         << ", peers: \"127.0.0.1:730" << i
         << "\", control: " << (i < kVms ? "voter" : "none") << "}\n";
  }
  return text.str();
}

void test_fleet::Spawn(const std::string& name,
                       const std::vector<std::string>& command,
                       const std::string& output_file) {
  posix_spawn_file_actions_t files;
  posix_spawn_file_actions_init(&files);
  const std::string log = folder_ + "/" + name + ".log";
  posix_spawn_file_actions_addopen(&files, 1, output_file.c_str(),
                                   O_CREAT | O_WRONLY | O_TRUNC, 0600);
  posix_spawn_file_actions_addopen(&files, 2, log.c_str(),
                                   O_CREAT | O_WRONLY | O_APPEND, 0600);
  std::vector<char*> arguments;
  for (const std::string& each : command) {
    arguments.push_back(const_cast<char*>(each.c_str()));
  }
  arguments.push_back(nullptr);
  pid_t pid = 0;
  const int failed = posix_spawn(&pid, command[0].c_str(), &files, nullptr,
                                 arguments.data(), environ);
  posix_spawn_file_actions_destroy(&files);
  CPPUNIT_ASSERT_EQUAL_MESSAGE(name, 0, failed);
  processes_[name] = pid;
}

void test_fleet::StartVm(int number) {
  const std::string name = VmName(number);
  Spawn(name,
        {MARJORAMSILL_BINARY, "serve", "--config",
         folder_ + "/" + name + ".yaml"},
        folder_ + "/" + name + ".out");
}

void test_fleet::StartEndpoint(const std::string& id, const std::string& domain,
                               int port, const std::string& serves,
                               const std::vector<std::string>& options) {
  std::string announce;
  for (int i = 1; i <= kVms; ++i) {
    const int vm = (port + i) % kVms + 1;
    announce += (i == 1 ? "" : ",") + Control(vm);
  }
  std::vector<std::string> command = {FAKE_ENDPOINT_BINARY,
                                      "--id",
                                      id,
                                      "--domain",
                                      domain,
                                      "--listen",
                                      "127.0.0.1:" + std::to_string(port),
                                      "--announce",
                                      announce,
                                      "--serves",
                                      serves,
                                      "--capacity",
                                      "16"};
  command.insert(command.end(), options.begin(), options.end());
  Spawn(id, command, folder_ + "/" + id + ".out");
}

void test_fleet::StartAll() {
  for (int i = 1; i <= kVms; ++i) StartVm(i);
  for (int i = 0; i < 9; ++i) {
    StartEndpoint("engine-" + std::to_string(i), DomainOf(i % 3 + 1), 7400 + i,
                  "draft");
  }
  for (int i = 0; i < 3; ++i) {
    StartEndpoint("desk-" + std::to_string(i), DomainOf(i + 1), 7500 + i,
                  "bookings");
  }
  const std::string operators =
      PublicKeyToText(PublicKeyOf(FixedKey(2)).assume_value());
  const std::string teams =
      "teams:\n  - name: operators\n    keys:\n      - {public_key: \"" +
      operators +
      "\", not_after: \"2099-01-01T00:00:00Z\"}\n"
      "    owns: [\"ranks/*\", \"workspaces/*\", \"models/*\", "
      "\"services/*\"]\n";
  CPPUNIT_ASSERT(WaitUntil(
      [&] { return Submit("teams/root", teams, 0, 1, "root") == 0; }));
  CPPUNIT_ASSERT_EQUAL(0, Submit("workspaces/club",
                                 "tokens_per_second: 1000000\n"
                                 "concurrent_requests: 1000\n",
                                 0, 1));
  CPPUNIT_ASSERT_EQUAL(
      0, Submit("models/draft", "versions: [{name: v1, share: 1}]\n", 0, 1));
  CPPUNIT_ASSERT_EQUAL(0, Submit("services/bookings",
                                 "calls:\n  - {method: POST, path: /bookings, "
                                 "repeatable: false}\n",
                                 0, 1));
  for (int i = 1; i <= kVms; ++i) {
    CPPUNIT_ASSERT(WaitUntil([&] { return VersionOf(i) == 4; }));
  }
  // Requests are served only once every VM knows the endpoints.
  for (int i = 1; i <= kVms; ++i) {
    CPPUNIT_ASSERT(WaitUntil([&] {
      const auto response =
          Fetch({.address = Control(i), .target = "/v1/status"});
      if (!response) return false;
      const json status = json::parse(response->body, nullptr, false);
      return status["pools"]["draft"].size() == 9 &&
             status["pools"]["bookings"].size() == 3;
    }));
  }
}

std::int64_t test_fleet::MemoryKb(const std::string& name,
                                  const std::string& field) {
  std::ifstream status("/proc/" + std::to_string(processes_.at(name)) +
                       "/status");
  std::string word;
  while (status >> word) {
    std::int64_t kilobytes = 0;
    if (word == field && status >> kilobytes) return kilobytes;
  }
  return 0;
}

void test_fleet::Kill(const std::string& name) {
  const auto found = processes_.find(name);
  if (found == processes_.end()) return;
  kill(found->second, SIGKILL);
  waitpid(found->second, nullptr, 0);
  processes_.erase(found);
}

int test_fleet::Terminate(const std::string& name,
                          std::chrono::seconds timeout) {
  const pid_t pid = processes_.at(name);
  kill(pid, SIGTERM);
  const auto deadline = std::chrono::steady_clock::now() + timeout;
  while (std::chrono::steady_clock::now() < deadline) {
    int status = 0;
    if (waitpid(pid, &status, WNOHANG) == pid) {
      processes_.erase(name);
      return ExitStatus(status);
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  return -1;
}

int test_fleet::Command(const std::vector<std::string>& arguments,
                        std::string* output) {
  std::vector<std::string> command = {MARJORAMSILL_BINARY};
  command.insert(command.end(), arguments.begin(), arguments.end());
  const std::string file = folder_ + "/command.out";
  Spawn("command", command, file);
  int status = 0;
  waitpid(processes_.at("command"), &status, 0);
  processes_.erase("command");
  if (output != nullptr) *output = ReadAll(file);
  return ExitStatus(status);
}

void test_fleet::StartLoad(const std::vector<std::string>& arguments) {
  std::vector<std::string> command = {
      MARJORAMSILL_BINARY,
      "load",
      "--json",
      "--workspaces",
      "club",
      "--model",
      "draft",
      "--service",
      "bookings",
      "--run-reports",
      "127.0.0.1:7500,127.0.0.1:7501,127.0.0.1:7502"};
  command.insert(command.end(), arguments.begin(), arguments.end());
  Spawn("load", command, folder_ + "/load.out");
}

int test_fleet::WaitForLoad(std::string* output) {
  int status = 0;
  waitpid(processes_.at("load"), &status, 0);
  processes_.erase("load");
  *output = ReadAll(folder_ + "/load.out");
  return ExitStatus(status);
}

int test_fleet::Submit(const std::string& section, const std::string& bytes,
                       std::uint64_t base, int vm, const std::string& team) {
  const std::string file = folder_ + "/section.yaml";
  WriteAll(file, bytes);
  return Command({"policy", "submit", section, file, "--control", Control(vm),
                  "--team", team, "--key", folder_ + "/" + team + ".pem",
                  "--base", std::to_string(base)});
}

std::string test_fleet::Section(const std::string& name, int vm) {
  std::string bytes;
  Command({"policy", "get", name, "--control", Control(vm)}, &bytes);
  return bytes;
}

std::uint64_t test_fleet::VersionOf(int vm) {
  const auto response = Fetch({.address = Control(vm), .target = "/v1/status"});
  if (!response) return 0;
  const json status = json::parse(response->body, nullptr, false);
  return status.value("version", std::uint64_t{0});
}

int test_fleet::Leader(int vm) {
  const auto response = Fetch({.address = Control(vm), .target = "/v1/status"});
  if (!response) return 0;
  const json status = json::parse(response->body, nullptr, false);
  const std::string name = status["groups"][0].value("leader", "");
  return name.empty() ? 0 : name.back() - '0';
}

std::map<std::string, int> test_fleet::Runs() {
  std::map<std::string, int> runs;
  for (int port = 7500; port <= 7502; ++port) {
    const auto response = Fetch(
        {.address = "127.0.0.1:" + std::to_string(port), .target = "/runs"});
    if (!response) continue;
    const json report = json::parse(response->body);
    for (const auto& [key, count] : report.items()) {
      runs[key] += count.get<int>();
    }
  }
  return runs;
}

bool test_fleet::WaitUntil(const std::function<bool()>& condition) {
  const auto deadline = std::chrono::steady_clock::now() + kWaitTimeout;
  while (std::chrono::steady_clock::now() < deadline) {
    if (condition()) return true;
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
  }
  return false;
}

}  // namespace marjoramsill
