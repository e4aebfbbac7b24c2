#ifndef MARJORAMSILL_REQUEST_HTTP_FIELD_H_
#define MARJORAMSILL_REQUEST_HTTP_FIELD_H_

#include <string>
#include <string_view>
#include <vector>

namespace marjoramsill {

/// One HTTP header field as received or to be sent.
struct http_field {
  std::string name;
  std::string value;
};

using http_field_list = std::vector<http_field>;

/// Compares field names, which ignore case (RFC 9110 section 5.1).
bool SameFieldName(std::string_view a, std::string_view b);

/// The first field of that name, or null.
const http_field* FindField(const http_field_list& fields,
                            std::string_view name);

/// Number of fields of that name.
int CountFields(const http_field_list& fields, std::string_view name);

}  // namespace marjoramsill

#endif  // MARJORAMSILL_REQUEST_HTTP_FIELD_H_
