#ifndef MARJORAMSILL_EXAMPLES_FAKE_ENDPOINT_FAKE_SETTINGS_H_
#define MARJORAMSILL_EXAMPLES_FAKE_ENDPOINT_FAKE_SETTINGS_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "connection/socket_address.h"

namespace marjoramsill {

/// Settings of a fake endpoint, from its command line.
struct fake_settings {
  std::string id;
  std::string failure_domain;
  socket_address listen;
  /// Control addresses of entry VMs; announcements go to one after another.
  std::vector<socket_address> announce;
  /// Models or services.
  std::vector<std::string> serves;
  std::uint32_t capacity = 8;
  std::chrono::milliseconds first_token{20};
  std::chrono::milliseconds between_tokens{5};
  /// Prompts whose prefix is cached.
  std::uint32_t cached_chats = 1'000;
  /// Whether orders with an old fencing number are refused.
  bool checks_fencing = true;
  /// Every n-th stream stops half way without an end; 0 for never.
  std::uint32_t stall_every = 0;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_EXAMPLES_FAKE_ENDPOINT_FAKE_SETTINGS_H_
