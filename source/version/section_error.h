#ifndef MARJORAMSILL_VERSION_SECTION_ERROR_H_
#define MARJORAMSILL_VERSION_SECTION_ERROR_H_

#include <string>

#include "types/ids.h"

namespace marjoramsill {

/// Why a section is invalid: the place, what was found and what is allowed.
struct section_error {
  section_name section;
  /// Line in the section, starting at 1; 0 if the error concerns the whole
  /// section.
  int line = 0;
  /// Path of the field, for example `urgent.kept_share`.
  std::string field;
  std::string found;
  std::string allowed;

  friend bool operator==(const section_error&, const section_error&) = default;
};

/// One line: "ranks/fleet line 3 field urgent.kept_share: found "2", allowed
/// 0 to 1".
std::string Describe(const section_error& error);

}  // namespace marjoramsill

#endif  // MARJORAMSILL_VERSION_SECTION_ERROR_H_
