#ifndef MARJORAMSILL_PROCESS_DIRECTORY_ENDPOINT_SET_DIGEST_H_
#define MARJORAMSILL_PROCESS_DIRECTORY_ENDPOINT_SET_DIGEST_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "types/ids.h"

namespace marjoramsill {

struct endpoint_record;

/// Digests of a set of endpoint records, one for each part of the endpoints by
/// their ids. Two processes compare them to find the parts in which they know
/// different endpoints. Endpoints that have ended, sequence numbers and warm-up
/// times do not count.
class endpoint_set_digest {
 public:
  /// With 16 parts, one difference among 95 endpoints costs six records.
  static constexpr std::size_t kParts = 16;

  static std::size_t PartOf(const endpoint_id& endpoint);
  /// Adds a record to the set. The same call removes it again.
  void Toggle(const endpoint_record& record);
  std::vector<std::uint64_t> parts() const {
    return {parts_.begin(), parts_.end()};
  }
  /// Whether the sets differ in this part. Digests of another length differ in
  /// all parts.
  bool Differs(const std::vector<std::uint64_t>& other, std::size_t part) const;

 private:
  std::array<std::uint64_t, kParts> parts_{};
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_DIRECTORY_ENDPOINT_SET_DIGEST_H_
