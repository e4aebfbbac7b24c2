#ifndef MARJORAMSILL_REQUEST_FORWARDED_HEAD_H_
#define MARJORAMSILL_REQUEST_FORWARDED_HEAD_H_

#include <string>

#include "request/http_field.h"

namespace marjoramsill {

struct request_dialect;

/// The header lines of a caller's request that are forwarded to an endpoint:
/// without hop-by-hop fields, fields that only entry VMs set, and the API key.
/// Last-Event-Id is omitted as well if `keep_last_event_id` is false.
std::string ForwardedLines(const http_field_list& fields,
                           const request_dialect& dialect,
                           bool keep_last_event_id);

/// The header lines of a caller's request that is handed on to another entry
/// VM: without hop-by-hop fields and those that the entry VM sends anew.
std::string HandedOnLines(const http_field_list& fields,
                          const request_dialect& dialect,
                          bool keep_last_event_id);

/// The fields of an endpoint's response that are forwarded to the caller: all
/// except hop-by-hop fields.
http_field_list ReturnedFields(const http_field_list& fields);

/// Appends one header line.
void AppendField(std::string& head, const std::string& name,
                 const std::string& value);

}  // namespace marjoramsill

#endif  // MARJORAMSILL_REQUEST_FORWARDED_HEAD_H_
