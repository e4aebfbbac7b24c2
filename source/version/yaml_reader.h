#ifndef MARJORAMSILL_VERSION_YAML_READER_H_
#define MARJORAMSILL_VERSION_YAML_READER_H_

#include <cstddef>
#include <string_view>

#include "types/ids.h"
#include "types/result.h"
#include "version/section_error.h"
#include "version/yaml_node.h"

namespace marjoramsill {

inline constexpr std::size_t kMaximumSectionBytes = 16384;
inline constexpr int kMaximumYamlDepth = 8;

/// Reads one YAML document whose top node is a map. Rejects constructs that
/// yaml-cpp accepts but the policy document does not allow: aliases, anchors,
/// tags, duplicate keys, keys that are not scalars, a second document, bytes
/// that are not plain UTF-8 text, more than `max_bytes`, and more than
/// `kMaximumYamlDepth` nested levels.
result<yaml_node, section_error> ReadYaml(
    const section_name& section, std::string_view bytes,
    std::size_t max_bytes = kMaximumSectionBytes);

}  // namespace marjoramsill

#endif  // MARJORAMSILL_VERSION_YAML_READER_H_
