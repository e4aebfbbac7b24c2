#include "request/http_field.h"

#include <algorithm>
#include <cctype>

namespace marjoramsill {

bool SameFieldName(std::string_view a, std::string_view b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](unsigned char x, unsigned char y) {
                      return std::tolower(x) == std::tolower(y);
                    });
}

const http_field* FindField(const http_field_list& fields,
                            std::string_view name) {
  for (const http_field& field : fields) {
    if (SameFieldName(field.name, name)) return &field;
  }
  return nullptr;
}

int CountFields(const http_field_list& fields, std::string_view name) {
  return static_cast<int>(std::count_if(
      fields.begin(), fields.end(), [name](const http_field& field) {
        return SameFieldName(field.name, name);
      }));
}

}  // namespace marjoramsill
