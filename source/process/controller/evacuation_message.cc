#include "process/controller/evacuation_message.h"

#include <cstddef>
#include <exception>
#include <msgpack.hpp>
#include <tuple>
#include <utility>

namespace marjoramsill {
namespace {

/// Domain, evacuates, known change.
using order_fields = std::tuple<std::string, bool, std::uint64_t>;
/// Outcome, change.
using response_fields = std::tuple<std::uint8_t, std::uint64_t>;

/// Limit for nested arrays of a later build.
constexpr std::size_t kMaxDepth = 5;

template <class Fields>
std::string Pack(const Fields& fields) {
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, fields);
  return std::string(buffer.data(), buffer.size());
}

template <class Fields>
std::optional<Fields> Unpack(std::string_view bytes) {
  try {
    Fields fields;
    const std::size_t most = bytes.size();
    const msgpack::unpack_limit limit(most, 0, most, 0, 0, kMaxDepth);
    msgpack::unpack(bytes.data(), bytes.size(), nullptr, nullptr, limit)
        .get()
        .convert(fields);
    return fields;
  } catch (const std::exception&) {
    // msgpack reports malformed bytes only by exceptions.
    return std::nullopt;
  }
}

}  // namespace

std::string EncodeForwardedEvacuation(const forwarded_evacuation& forwarded) {
  return Pack(order_fields{forwarded.order.domain.value(),
                           forwarded.order.evacuates, forwarded.known_change});
}

std::optional<forwarded_evacuation> DecodeForwardedEvacuation(
    std::string_view bytes) {
  auto fields = Unpack<order_fields>(bytes);
  if (!fields) return std::nullopt;
  auto& [domain, evacuates, known_change] = *fields;
  forwarded_evacuation forwarded{
      {failure_domain_id(std::move(domain)), evacuates}, known_change};
  if (!IsValidEvacuationDomain(forwarded.order.domain)) return std::nullopt;
  return forwarded;
}

std::string EncodeEvacuationResponse(const evacuation_response& response) {
  return Pack(response_fields{static_cast<std::uint8_t>(response.outcome),
                              response.change});
}

evacuation_response DecodeEvacuationResponse(std::string_view bytes) {
  const auto fields = Unpack<response_fields>(bytes);
  using kind = evacuation_response::kind;
  constexpr auto kLast = static_cast<std::uint8_t>(kind::kBehind);
  if (!fields || std::get<0>(*fields) > kLast) return {};
  return {static_cast<kind>(std::get<0>(*fields)), std::get<1>(*fields)};
}

evacuation_step NextEvacuationStep(const evacuation_set& held,
                                   const forwarded_evacuation& forwarded,
                                   bool has_open_order) {
  const evacuation_order& order = forwarded.order;
  const bool is_so = held.Contains(order.domain) == order.evacuates;
  if (is_so && !has_open_order) return evacuation_step::kAcknowledge;
  if (forwarded.known_change < held.change) return evacuation_step::kReturn;
  return evacuation_step::kPropose;
}

}  // namespace marjoramsill
