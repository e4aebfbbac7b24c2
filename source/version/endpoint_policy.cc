#include "version/endpoint_policy.h"

#include <array>

namespace marjoramsill {
namespace {

constexpr std::array<std::string_view, 4> kNames = {"mixed", "prefill",
                                                    "decode", "standby"};

}  // namespace

std::string_view EndpointRoleName(endpoint_role role) {
  return kNames.at(static_cast<std::size_t>(role));
}

std::optional<endpoint_role> ParseEndpointRole(std::string_view text) {
  for (std::size_t i = 0; i < kNames.size(); ++i) {
    if (kNames.at(i) == text) return static_cast<endpoint_role>(i);
  }
  return std::nullopt;
}

}  // namespace marjoramsill
