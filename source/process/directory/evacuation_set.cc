#include "process/directory/evacuation_set.h"

#include <algorithm>
#include <functional>
#include <string_view>

namespace marjoramsill {
namespace {

constexpr std::string_view kDomainCharacters =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789._-";

}  // namespace

bool evacuation_set::Contains(const failure_domain_id& domain) const {
  return std::binary_search(domains.begin(), domains.end(), domain);
}

bool evacuation_set::Set(const failure_domain_id& domain, bool is_evacuated) {
  if (Contains(domain) == is_evacuated) return true;
  if (is_evacuated && domains.size() >= kMaxEvacuatedDomains) return false;
  const auto place = std::lower_bound(domains.begin(), domains.end(), domain);
  if (is_evacuated) {
    domains.insert(place, domain);
  } else {
    domains.erase(place);
  }
  ++change;
  return true;
}

bool IsValidEvacuationDomain(const failure_domain_id& domain) {
  const std::string_view name = domain.value();
  return !name.empty() && name.size() <= kMaxEvacuatedDomainBytes &&
         name.find_first_not_of(kDomainCharacters) == std::string_view::npos;
}

bool IsValidEvacuationSet(const evacuation_set& set) {
  const auto& domains = set.domains;
  // The set is empty before its first change.
  if (set.change == 0 && !domains.empty()) return false;
  return domains.size() <= kMaxEvacuatedDomains &&
         std::all_of(domains.begin(), domains.end(), IsValidEvacuationDomain) &&
         std::adjacent_find(domains.begin(), domains.end(),
                            std::greater_equal<>()) == domains.end();
}

}  // namespace marjoramsill
