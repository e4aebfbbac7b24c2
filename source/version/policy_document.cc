#include "version/policy_document.h"

#include <utility>

namespace marjoramsill {

section_ptr policy_document::Find(const section_name& name) const {
  const auto it = by_name_.find(name.value());
  return it == by_name_.end() ? nullptr : it->second;
}

bool policy_document::Put(section_ptr record) {
  const auto it = by_name_.find(record->name.value());
  if (it != by_name_.end()) {
    if (it->second->version >= record->version) return false;
    by_version_.erase(it->second->version);
    // The key is a view of the name in the old record.
    by_name_.erase(it);
  }
  by_name_.emplace(record->name.value(), record);
  const section_version version = record->version;
  by_version_[version] = std::move(record);
  return true;
}

policy_document::section_range policy_document::Range(
    section_version after, section_version until, std::size_t max_sections,
    std::size_t max_bytes, const section_filter& filter) const {
  section_range range{{}, until};
  std::size_t bytes = 0;
  for (auto it = by_version_.upper_bound(after);
       it != by_version_.end() && it->first <= until; ++it) {
    if (filter && !filter(*it->second)) continue;
    bytes += it->second->bytes.size() + it->second->name.value().size();
    const bool full =
        bytes > max_bytes || range.sections.size() >= max_sections;
    if (full && !range.sections.empty()) {
      range.through = range.sections.back()->version;
      return range;
    }
    range.sections.push_back(it->second);
  }
  return range;
}

}  // namespace marjoramsill
