#include "process/directory/relay_offer.h"

#include <xxhash.h>

#include <cstddef>
#include <exception>
#include <msgpack.hpp>
#include <tuple>
#include <utility>

namespace marjoramsill {
namespace {

/// Address, is near.
using offer_fields = std::tuple<std::string, bool>;

/// The list and its offers.
constexpr std::size_t kMaxDepth = 3;

}  // namespace

std::uint32_t DigestOfDomain(const failure_domain_id& domain) {
  return static_cast<std::uint32_t>(
      XXH3_64bits(domain.value().data(), domain.value().size()));
}

std::string RelayAddress(const vm_id& vm, std::uint16_t port) {
  const std::size_t colon = vm.value().rfind(':');
  if (colon == std::string::npos) return "";
  return vm.value().substr(0, colon + 1) + std::to_string(port);
}

std::string EncodeRelayOffers(const std::vector<relay_offer>& offers) {
  std::vector<offer_fields> fields;
  fields.reserve(offers.size());
  for (const relay_offer& each : offers) {
    fields.emplace_back(each.address, each.is_near);
  }
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, fields);
  return std::string(buffer.data(), buffer.size());
}

std::optional<std::vector<relay_offer>> DecodeRelayOffers(
    std::string_view bytes) {
  try {
    const std::size_t most = bytes.size();
    const msgpack::unpack_limit limit(most, 0, most, 0, 0, kMaxDepth);
    std::vector<offer_fields> fields;
    msgpack::unpack(bytes.data(), bytes.size(), nullptr, nullptr, limit)
        .get()
        .convert(fields);
    std::vector<relay_offer> offers;
    offers.reserve(fields.size());
    for (auto& [address, is_near] : fields) {
      offers.push_back({std::move(address), is_near});
    }
    return offers;
  } catch (const std::exception&) {
    // msgpack reports malformed bytes only by exceptions.
    return std::nullopt;
  }
}

}  // namespace marjoramsill
