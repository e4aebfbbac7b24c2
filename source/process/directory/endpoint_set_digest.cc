#include "process/directory/endpoint_set_digest.h"

#include <xxhash.h>

#include <string>

#include "process/directory/endpoint_record.h"

namespace marjoramsill {
namespace {

std::uint64_t Hash(const std::string& text, std::uint64_t seed) {
  return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::uint64_t Hash(std::uint64_t number, std::uint64_t seed) {
  return XXH3_64bits_withSeed(&number, sizeof(number), seed);
}

std::uint64_t HashOf(const endpoint_record& record) {
  std::uint64_t hash = Hash(record.id.value(), 0);
  hash = Hash(record.pool.value(), hash);
  hash = Hash(record.address, hash);
  hash = Hash(record.domain.value(), hash);
  hash = Hash(record.software, hash);
  hash = Hash(record.slots, hash);
  hash = Hash(static_cast<std::uint64_t>(record.phase), hash);
  return Hash(record.incarnation.value(), hash);
}

}  // namespace

std::size_t endpoint_set_digest::PartOf(const endpoint_id& endpoint) {
  return Hash(endpoint.value(), 0) % kParts;
}

void endpoint_set_digest::Toggle(const endpoint_record& record) {
  if (record.phase == endpoint_phase::kEnded) return;
  parts_[PartOf(record.id)] ^= HashOf(record);
}

bool endpoint_set_digest::Differs(const std::vector<std::uint64_t>& other,
                                  std::size_t part) const {
  return other.size() != kParts || other[part] != parts_[part];
}

}  // namespace marjoramsill
