#ifndef MARJORAMSILL_VERSION_FIELD_READER_H_
#define MARJORAMSILL_VERSION_FIELD_READER_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "version/section_error.h"
#include "version/yaml_node.h"

namespace marjoramsill {

/// Keeps the first error of one section.
class parse_report {
 public:
  explicit parse_report(section_name section) : section_(section) {}

  void Fail(int line, std::string field, std::string found,
            std::string allowed);
  const std::optional<section_error>& error() const { return error_; }

 private:
  section_name section_;
  std::optional<section_error> error_;
};

/// Reads the fields of one map and checks their type and range. The first error
/// is kept in the report, and invalid fields have default values. `Finish`
/// rejects keys that were not read.
class field_reader {
 public:
  struct text_rule {
    std::function<bool(std::string_view)> accepts;
    std::string allowed;
  };

  field_reader(const yaml_node& map, std::string path, parse_report& report);

  std::uint64_t Integer(const std::string& key, std::uint64_t low,
                        std::uint64_t high,
                        std::optional<std::uint64_t> fallback = {});
  double Number(const std::string& key, double low, double high,
                std::optional<double> fallback = {});
  std::string Text(const std::string& key, const text_rule& rule,
                   std::optional<std::string> fallback = {});
  bool Boolean(const std::string& key, bool fallback);
  std::vector<std::string> Texts(const std::string& key, const text_rule& rule,
                                 bool required);
  /// Null when absent or not of that type.
  const yaml_node* Map(const std::string& key, bool required);
  const yaml_node* Sequence(const std::string& key, bool required);

  void Finish();

  int line() const { return map_.line; }
  std::string PathOf(const std::string& key) const;

 private:
  const yaml_node* Find(const std::string& key, bool required,
                        const std::string& allowed);
  const yaml_node* FindTyped(const std::string& key, bool required,
                             yaml_node::kind type, const std::string& allowed);
  std::string CheckedText(const yaml_node& node, const std::string& field,
                          const text_rule& rule);

  const yaml_node& map_;
  std::string path_;
  parse_report& report_;
  std::vector<std::string> known_;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_VERSION_FIELD_READER_H_
