#ifndef MARJORAMSILL_PROCESS_DIRECTORY_RELAY_OFFER_H_
#define MARJORAMSILL_PROCESS_DIRECTORY_RELAY_OFFER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "types/ids.h"

namespace marjoramsill {

/// What an entry VM says of itself with its watch requests, so that control
/// processes can name it to VMs without links to endpoints.
struct relay_state {
  /// Port at which it takes requests of other entry VMs; 0: none.
  std::uint16_t port = 0;
  /// Hash of its failure domain.
  std::uint32_t domain = 0;
  /// It has links to the endpoints of all pools, and is not stopping.
  bool has_links = false;

  friend bool operator==(const relay_state&, const relay_state&) = default;
};

std::uint32_t DigestOfDomain(const failure_domain_id& domain);

/// IP:PORT at which the VM takes requests of others; empty if its id is not the
/// address of a VM.
std::string RelayAddress(const vm_id& vm, std::uint16_t port);

/// An entry VM that takes requests of others.
struct relay_offer {
  /// IP:PORT.
  std::string address;
  /// It is in the failure domain of the VM that asked.
  bool is_near = false;

  friend bool operator==(const relay_offer&, const relay_offer&) = default;
};

std::string EncodeRelayOffers(const std::vector<relay_offer>& offers);
std::optional<std::vector<relay_offer>> DecodeRelayOffers(
    std::string_view bytes);

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_DIRECTORY_RELAY_OFFER_H_
