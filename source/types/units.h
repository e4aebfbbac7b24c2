#ifndef MARJORAMSILL_TYPES_UNITS_H_
#define MARJORAMSILL_TYPES_UNITS_H_

#include "types/strong_number.h"

namespace marjoramsill {

using token_count = strong_number<struct token_count_tag>;
using byte_count = strong_number<struct byte_count_tag>;
/// Estimated work of a request: prompt tokens to compute plus tokens to
/// generate.
using cost_units = strong_number<struct cost_units_tag>;

}  // namespace marjoramsill

#endif  // MARJORAMSILL_TYPES_UNITS_H_
