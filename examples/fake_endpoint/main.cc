#include <asio/signal_set.hpp>
#include <boost/program_options.hpp>
#include <csignal>
#include <exception>
#include <iostream>
#include <sstream>
#include <string>

#include "fake_endpoint/fake_endpoint.h"

namespace marjoramsill {
namespace {

namespace options = boost::program_options;

constexpr std::chrono::seconds kMaximumDrainTime{30};

struct command_line {
  std::string listen;
  std::string announce;
  std::string serves;
  std::uint32_t first_token_ms = 20;
  std::uint32_t between_tokens_ms = 5;
  bool ignore_fencing = false;
};

options::options_description Describe(fake_settings& settings,
                                      command_line& line) {
  options::options_description all("Fake endpoint for tests on loopback");
  auto add = all.add_options();
  add("help", "show this page");
  add("id", options::value(&settings.id)->required(), "endpoint id");
  add("domain", options::value(&settings.failure_domain)->required(),
      "failure domain");
  add("listen", options::value(&line.listen)->required(), "IP:PORT");
  add("announce", options::value(&line.announce)->required(),
      "control addresses of entry VMs, IP:PORT separated by commas");
  add("serves", options::value(&line.serves)->required(),
      "models or services, separated by commas");
  add("capacity", options::value(&settings.capacity),
      "concurrent requests; more are reported as waiting");
  add("first-token-ms", options::value(&line.first_token_ms),
      "time to the first token in milliseconds");
  add("between-tokens-ms", options::value(&line.between_tokens_ms),
      "time between tokens in milliseconds");
  add("cached-chats", options::value(&settings.cached_chats),
      "maximum number of chats in the prefix cache");
  add("stall-every", options::value(&settings.stall_every),
      "stall every n-th stream half way; 0 for never");
  add("ignore-fencing", options::bool_switch(&line.ignore_fencing),
      "accept orders with an old fencing number");
  return all;
}

std::vector<std::string> Split(const std::string& text) {
  std::vector<std::string> parts;
  std::istringstream stream(text);
  for (std::string part; std::getline(stream, part, ',');) {
    parts.push_back(part);
  }
  return parts;
}

bool ApplyCommandLine(const command_line& line, fake_settings& settings) {
  const auto listen = ParseSocketAddress(line.listen);
  if (!listen) {
    std::cerr << "fake_endpoint: --listen: found \"" << line.listen
              << "\", allowed is IP:PORT\n";
    return false;
  }
  settings.listen = *listen;
  for (const std::string& part : Split(line.announce)) {
    const auto address = ParseSocketAddress(part);
    if (!address) {
      std::cerr << "fake_endpoint: --announce: found \"" << part
                << "\", allowed is IP:PORT\n";
      return false;
    }
    settings.announce.push_back(*address);
  }
  settings.serves = Split(line.serves);
  settings.first_token = std::chrono::milliseconds(line.first_token_ms);
  settings.between_tokens = std::chrono::milliseconds(line.between_tokens_ms);
  settings.checks_fencing = !line.ignore_fencing;
  return true;
}

/// Stops `io` when no request is running, at the latest at `deadline`.
void StopWhenIdle(asio::io_context& io, fake_endpoint& endpoint,
                  asio::steady_timer& timer,
                  std::chrono::steady_clock::time_point deadline) {
  timer.expires_after(std::chrono::milliseconds(100));
  timer.async_wait([&io, &endpoint, &timer, deadline](std::error_code) {
    const bool is_overdue = std::chrono::steady_clock::now() >= deadline;
    if (endpoint.running() == 0 || is_overdue) {
      io.stop();
    } else {
      StopWhenIdle(io, endpoint, timer, deadline);
    }
  });
}

int Run(const fake_settings& settings) {
  asio::io_context io(1);
  fake_endpoint endpoint(io, settings);
  const auto started = endpoint.Start();
  if (!started) {
    std::cerr << "fake_endpoint: cannot listen on "
              << FormatSocketAddress(settings.listen) << ": "
              << started.assume_error().reason << "\n";
    return 1;
  }
  asio::signal_set signals(io, SIGTERM, SIGINT);
  asio::steady_timer timer(io);
  signals.async_wait([&](std::error_code error, int) {
    if (error) return;
    endpoint.Leave();
    // Entry VMs stop sending new work within 3 s of the announcement.
    timer.expires_after(std::chrono::seconds(4));
    timer.async_wait([&](std::error_code) {
      StopWhenIdle(io, endpoint, timer,
                   std::chrono::steady_clock::now() + kMaximumDrainTime);
    });
  });
  io.run();
  return 0;
}

}  // namespace
}  // namespace marjoramsill

int main(int argc, char** argv) {
  using namespace marjoramsill;
  fake_settings settings;
  command_line line;
  const options::options_description all = Describe(settings, line);
  try {
    options::variables_map values;
    options::store(options::parse_command_line(argc, argv, all), values);
    if (values.count("help") != 0) {
      std::cout << all;
      return 0;
    }
    options::notify(values);
  } catch (const options::error& error) {
    std::cerr << "fake_endpoint: " << error.what() << "; see --help\n";
    return 2;
  }
  if (!ApplyCommandLine(line, settings)) return 2;
  return Run(settings);
}
