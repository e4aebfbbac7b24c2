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

/// The newest record of each section, found by name or by version.
class policy_document {
 public:
  using section_filter = std::function<bool(const section_record&)>;

  struct section_range {
    std::vector<section_ptr> sections;
    /// All sections that pass the filter with versions after the range's
    /// begin and up to this one are in `sections`.
    section_version through;
  };

  document_version version() const { return version_; }
  void set_version(document_version version) { version_ = version; }

  /// Null when the document has never had the section.
  section_ptr Find(const section_name& name) const;
  /// Replaces an older record of the same section. False when the document
  /// has this or a newer record, which stays.
  bool Put(section_ptr record);

  /// Sections with versions in (after, until], in the order of their versions,
  /// at most `most_sections` and up to about `most_bytes` of content, but at
  /// least one section.
  section_range Range(section_version after, section_version until,
                      std::size_t most_sections, std::size_t most_bytes,
                      const section_filter& filter = {}) const;

  const std::map<section_version, section_ptr>& by_version() const {
    return by_version_;
  }
  std::size_t size() const { return by_version_.size(); }

 private:
  document_version version_;
  std::map<section_version, section_ptr> by_version_;
  /// Keys refer to the names inside the records.
  std::unordered_map<std::string_view, section_ptr> by_name_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_VERSION_POLICY_DOCUMENT_H_
