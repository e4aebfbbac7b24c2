#ifndef MARJORAMSILL_VERSION_POLICY_DOCUMENT_H_
#define MARJORAMSILL_VERSION_POLICY_DOCUMENT_H_

#include <cstddef>
#include <functional>
#include <map>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "types/ids.h"
#include "version/section_record.h"

namespace marjoramsill {

/// The newest record of each section, indexed by name and by version.
class policy_document {
 public:
  using section_filter = std::function<bool(const section_record&)>;

  struct section_range {
    std::vector<section_ptr> sections;
    /// `sections` holds all sections that pass the filter, from the begin of
    /// the range up to this version.
    section_version through;
  };

  document_version version() const { return version_; }
  void set_version(document_version version) { version_ = version; }

  /// Null when the document never contained the section.
  section_ptr Find(const section_name& name) const;
  /// Adds the record or replaces an older record of the same section. Returns
  /// false, and changes nothing, if the document has this or a newer record.
  bool Put(section_ptr record);

  /// Sections with versions in (after, until], ordered by version. Limited to
  /// `max_sections` and to `max_bytes` of names and content; the first section
  /// is returned even if it exceeds `max_bytes`.
  section_range Range(section_version after, section_version until,
                      std::size_t max_sections, std::size_t max_bytes,
                      const section_filter& filter = {}) const;

  const std::map<section_version, section_ptr>& by_version() const {
    return by_version_;
  }
  std::size_t size() const { return by_version_.size(); }

 private:
  document_version version_;
  std::map<section_version, section_ptr> by_version_;
  /// The keys are views of the names in the records.
  std::unordered_map<std::string_view, section_ptr> by_name_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_VERSION_POLICY_DOCUMENT_H_
