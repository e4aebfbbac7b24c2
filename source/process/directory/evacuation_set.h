#ifndef MARJORAMSILL_PROCESS_DIRECTORY_EVACUATION_SET_H_
#define MARJORAMSILL_PROCESS_DIRECTORY_EVACUATION_SET_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "types/ids.h"

namespace marjoramsill {

/// Bounds of the set. It is part of every watch response, so that its size is
/// limited to about 1 KB.
inline constexpr std::size_t kMaxEvacuatedDomains = 16;
inline constexpr std::size_t kMaxEvacuatedDomainBytes = 64;

/// The failure domains whose endpoints get no more requests.
struct evacuation_set {
  /// Number of changes of the set since the group was founded; 0 if no domain
  /// was ever evacuated.
  std::uint64_t change = 0;
  /// Sorted, without duplicates.
  std::vector<failure_domain_id> domains;

  bool Contains(const failure_domain_id& domain) const;
  /// Adds or removes a domain and raises the change number. Returns false,
  /// without a change, if a domain is added to a full set.
  bool Set(const failure_domain_id& domain, bool is_evacuated);

  friend bool operator==(const evacuation_set&,
                         const evacuation_set&) = default;
};

/// The domain may be part of a set: neither empty nor too long, and only of
/// ASCII letters, digits, `.`, `_` and `-`.
bool IsValidEvacuationDomain(const failure_domain_id& domain);
/// The set is sorted and within its bounds.
bool IsValidEvacuationSet(const evacuation_set& set);

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_DIRECTORY_EVACUATION_SET_H_
