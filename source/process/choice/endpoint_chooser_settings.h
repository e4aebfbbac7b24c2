#ifndef MARJORAMSILL_PROCESS_CHOICE_ENDPOINT_CHOOSER_SETTINGS_H_
#define MARJORAMSILL_PROCESS_CHOICE_ENDPOINT_CHOOSER_SETTINGS_H_

#include <cstddef>
#include <cstdint>

#include "process/choice/load_table.h"
#include "types/ids.h"

namespace marjoramsill {

/// Settings of an endpoint_chooser.
struct endpoint_chooser_settings {
  failure_domain_id own_domain;
  load_table_settings load;
  /// Number of cache hints kept; a power of two.
  std::size_t hints = 16384;
  /// Maximum number of preferred endpoints that share the requests of a hot
  /// key.
  std::uint32_t max_preferred = 8;
  /// A key is hot if its requests exceed this fraction of the mean number of
  /// requests per endpoint.
  double hot_share = 0.25;
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_CHOICE_ENDPOINT_CHOOSER_SETTINGS_H_
