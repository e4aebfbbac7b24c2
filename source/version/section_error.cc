#include "version/section_error.h"

namespace marjoramsill {

std::string Describe(const section_error& error) {
  std::string text = error.section.value();
  if (error.line > 0) text += " line " + std::to_string(error.line);
  if (!error.field.empty()) text += " field " + error.field;
  return text + ": found " + error.found + ", allowed " + error.allowed;
}

}  // namespace marjoramsill
