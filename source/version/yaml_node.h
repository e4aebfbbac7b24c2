#ifndef MARJORAMSILL_VERSION_YAML_NODE_H_
#define MARJORAMSILL_VERSION_YAML_NODE_H_

#include <string>
#include <vector>

namespace marjoramsill {

/// One node of a parsed section.
struct yaml_node {
  enum class kind { kNull, kScalar, kSequence, kMap };

  kind type = kind::kNull;
  /// Line on which the node starts, from 1.
  int line = 0;
  /// True for a quoted scalar, which is text even if it looks like a number.
  bool quoted = false;
  /// Text of a scalar or of a map key.
  std::string text;
  /// Items of a sequence; values of a map, in the order of `keys`.
  std::vector<yaml_node> items;
  std::vector<std::string> keys;
};

/// Description for error messages: the scalar in quotes, cut to 60 bytes, or
/// the kind of the node.
std::string DescribeFound(const yaml_node& node);

}  // namespace marjoramsill

#endif  // MARJORAMSILL_VERSION_YAML_NODE_H_
