#ifndef MARJORAMSILL_REQUEST_HTTP_FIELD_H_
#define MARJORAMSILL_REQUEST_HTTP_FIELD_H_

#include <string>
#include <string_view>
#include <vector>

namespace marjoramsill {

/// One HTTP header field.
struct http_field {
  std::string name;
  std::string value;
};

using http_field_list = std::vector<http_field>;

/// Compares field names, ignoring case (RFC 9110 section 5.1).
bool SameFieldName(std::string_view a, std::string_view b);

/// The first field with this name; null if there is none.
const http_field* FindField(const http_field_list& fields,
                            std::string_view name);

/// Number of fields with this name.
int CountFields(const http_field_list& fields, std::string_view name);

}  // namespace marjoramsill

#endif  // MARJORAMSILL_REQUEST_HTTP_FIELD_H_
