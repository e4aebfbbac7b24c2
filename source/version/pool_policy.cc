#include "version/pool_policy.h"

namespace marjoramsill {
namespace {

bool IsNormal(std::string_view path) {
  if (path.find('%') != std::string_view::npos) return false;
  if (path.find('\\') != std::string_view::npos) return false;
  std::size_t begin = 0;
  if (!path.empty() && path.front() == '/') begin = 1;
  while (begin < path.size()) {
    std::size_t end = path.find('/', begin);
    if (end == std::string_view::npos) end = path.size();
    const std::string_view segment = path.substr(begin, end - begin);
    if (segment.empty() || segment == "." || segment == "..") return false;
    begin = end + 1;
  }
  return true;
}

bool PathMatches(std::string_view pattern, std::string_view path) {
  if (!pattern.empty() && pattern.back() == '*') {
    pattern.remove_suffix(1);
    return path.substr(0, pattern.size()) == pattern;
  }
  return path == pattern;
}

std::string_view WithoutQuery(std::string_view path) {
  return path.substr(0, path.find('?'));
}

bool ForbidsRepeats(const std::vector<call_rule>& calls,
                    std::string_view method) {
  for (const call_rule& rule : calls) {
    if (rule.method == method && !rule.repeatable) return true;
  }
  return false;
}

}  // namespace

bool pool_policy::IsRepeatable(std::string_view method,
                               std::string_view path) const {
  if (!is_service) return true;
  path = WithoutQuery(path);
  const bool by_default = method == "GET" || method == "HEAD";
  if (!IsNormal(path)) return by_default && !ForbidsRepeats(calls, method);
  for (const call_rule& rule : calls) {
    if (rule.method == method && PathMatches(rule.path, path)) {
      return rule.repeatable;
    }
  }
  return by_default;
}

}  // namespace marjoramsill
