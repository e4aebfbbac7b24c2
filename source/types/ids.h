#ifndef MARJORAMSILL_TYPES_IDS_H_
#define MARJORAMSILL_TYPES_IDS_H_

#include "types/strong_number.h"
#include "types/strong_string.h"

namespace marjoramsill {

using workspace_id = strong_string<struct workspace_id_tag>;
/// Identifies a model or a plain service; each is served by a pool of
/// endpoints.
using model_id = strong_string<struct model_id_tag>;
using chat_id = strong_string<struct chat_id_tag>;
using endpoint_id = strong_string<struct endpoint_id_tag>;
using vm_id = strong_string<struct vm_id_tag>;
using failure_domain_id = strong_string<struct failure_domain_id_tag>;
using request_id = strong_string<struct request_id_tag>;
using attempt_id = strong_string<struct attempt_id_tag>;
using idempotency_key = strong_string<struct idempotency_key_tag>;
using section_name = strong_string<struct section_name_tag>;
using team_id = strong_string<struct team_id_tag>;

using document_version = strong_number<struct document_version_tag>;
using section_version = strong_number<struct section_version_tag>;
using log_index = strong_number<struct log_index_tag>;
using log_term = strong_number<struct log_term_tag>;
/// Start number of an endpoint or VM process. It increases with every restart.
using incarnation_number = strong_number<struct incarnation_number_tag>;
using fencing_number = strong_number<struct fencing_number_tag>;

}  // namespace marjoramsill

#endif  // MARJORAMSILL_TYPES_IDS_H_
