#ifndef MARJORAMSILL_VERSION_YAML_NODE_H_
#define MARJORAMSILL_VERSION_YAML_NODE_H_

#include <string>
#include <vector>

namespace marjoramsill {

/// One node of a parsed section, with the line that it starts on.
struct yaml_node {
  enum class kind { kNull, kScalar, kSequence, kMap };

  kind type = kind::kNull;
  int line = 0;
  /// True for a scalar in quotes, which is text even when it looks numeric.
  bool quoted = false;
  /// The scalar's text, or the key when this node is a key of a map.
  std::string text;
  /// Items of a sequence; values of a map, in the order of `keys`.
  std::vector<yaml_node> items;
  std::vector<std::string> keys;
};

/// For error messages: the scalar in quotes, cut to 60 bytes, or the kind.
std::string DescribeFound(const yaml_node& node);

}  // namespace marjoramsill

#endif  // MARJORAMSILL_VERSION_YAML_NODE_H_
