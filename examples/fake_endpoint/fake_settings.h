#ifndef MARJORAMSILL_EXAMPLES_FAKE_ENDPOINT_FAKE_SETTINGS_H_
#define MARJORAMSILL_EXAMPLES_FAKE_ENDPOINT_FAKE_SETTINGS_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "connection/socket_address.h"

namespace marjoramsill {

/// Command line settings of a fake endpoint.
struct fake_settings {
  std::string id;
  std::string failure_domain;
  socket_address listen;
  /// Control addresses of entry VMs. Announcements go to one of them; after a
  /// failure, to the next one.
  std::vector<socket_address> announce;
  /// Names of the models or services that the endpoint serves.
  std::vector<std::string> serves;
  std::uint32_t capacity = 8;
  std::chrono::milliseconds first_token{20};
  std::chrono::milliseconds between_tokens{5};
  /// Maximum number of chats in the prefix cache.
  std::uint32_t cached_chats = 1'000;
  /// Whether orders with an old fencing number are refused.
  bool checks_fencing = true;
  /// Every n-th stream stalls half way and is never ended; 0 disables this.
  std::uint32_t stall_every = 0;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_EXAMPLES_FAKE_ENDPOINT_FAKE_SETTINGS_H_
