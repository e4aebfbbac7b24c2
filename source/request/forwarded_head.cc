#include "request/forwarded_head.h"

#include <algorithm>
#include <array>
#include <string_view>
#include <vector>

#include "request/request_dialect.h"

namespace marjoramsill {
namespace {

/// Hop-by-hop fields (RFC 9110 section 7.6.1), and the length, which the sender
/// sets itself.
constexpr std::array<std::string_view, 11> kConnectionFields{
    "Connection",
    "Keep-Alive",
    "Proxy-Connection",
    "Proxy-Authenticate",
    "Proxy-Authorization",
    "TE",
    "Trailer",
    "Transfer-Encoding",
    "Upgrade",
    "Content-Length",
    "Expect"};

/// Field names listed in Connection fields; these are hop-by-hop as well.
std::vector<std::string_view> ListedFields(const http_field_list& fields) {
  std::vector<std::string_view> listed;
  for (const http_field& field : fields) {
    if (!SameFieldName(field.name, "Connection")) continue;
    std::string_view rest = field.value;
    while (!rest.empty()) {
      const std::size_t comma = std::min(rest.find(','), rest.size());
      std::string_view name = rest.substr(0, comma);
      while (!name.empty() && name.front() == ' ') name.remove_prefix(1);
      while (!name.empty() && name.back() == ' ') name.remove_suffix(1);
      listed.push_back(name);
      rest.remove_prefix(std::min(comma + 1, rest.size()));
    }
  }
  return listed;
}

template <class Names>
bool Contains(const Names& names, std::string_view name) {
  return std::any_of(names.begin(), names.end(), [name](const auto& each) {
    return SameFieldName(each, name);
  });
}

/// The lines of all fields except hop-by-hop fields and those that `is_omitted`
/// names.
template <class Predicate>
std::string LinesWithout(const http_field_list& fields,
                         const Predicate& is_omitted) {
  const std::vector<std::string_view> listed = ListedFields(fields);
  std::string lines;
  for (const http_field& field : fields) {
    if (Contains(kConnectionFields, field.name)) continue;
    if (Contains(listed, field.name) || is_omitted(field.name)) continue;
    AppendField(lines, field.name, field.value);
  }
  return lines;
}

}  // namespace

void AppendField(std::string& head, const std::string& name,
                 const std::string& value) {
  head += name;
  head += ": ";
  head += value;
  head += "\r\n";
}

std::string ForwardedLines(const http_field_list& fields,
                           const request_dialect& dialect,
                           bool keep_last_event_id) {
  const std::array<std::string_view, 6> replaced{
      dialect.remaining_ms,    dialect.key,
      dialect.workspace,       dialect.endpoint,
      dialect.engine_priority, dialect.cache_source};
  return LinesWithout(fields, [&](std::string_view name) {
    return Contains(replaced, name) || Contains(dialect.reserved, name) ||
           (!keep_last_event_id && SameFieldName(name, dialect.last_event_id));
  });
}

std::string HandedOnLines(const http_field_list& fields,
                          const request_dialect& dialect,
                          bool keep_last_event_id) {
  return LinesWithout(fields, [&](std::string_view name) {
    return SameFieldName(name, dialect.remaining_ms) ||
           (!keep_last_event_id && SameFieldName(name, dialect.last_event_id));
  });
}

http_field_list ReturnedFields(const http_field_list& fields) {
  const std::vector<std::string_view> listed = ListedFields(fields);
  http_field_list returned;
  for (const http_field& field : fields) {
    if (Contains(kConnectionFields, field.name)) continue;
    if (Contains(listed, field.name)) continue;
    returned.push_back(field);
  }
  return returned;
}

}  // namespace marjoramsill
