#ifndef MARJORAMSILL_REQUEST_FORWARDED_HEAD_H_
#define MARJORAMSILL_REQUEST_FORWARDED_HEAD_H_

#include <string>

#include "request/http_field.h"

namespace marjoramsill {

struct request_dialect;

/// The header lines of a caller's request that are passed on to an endpoint:
/// without those of the connection, those that only entry VMs set, and the
/// key. The caller's position in a stream is left out as well if
/// `keeps_position` is false.
std::string ForwardedLines(const http_field_list& fields,
                           const request_dialect& dialect, bool keeps_position);

/// The fields of an endpoint's answer that are passed back to the caller.
http_field_list ReturnedFields(const http_field_list& fields);

/// Appends one header line.
void AppendField(std::string& head, const std::string& name,
                 const std::string& value);

}  // namespace marjoramsill

#endif  // MARJORAMSILL_REQUEST_FORWARDED_HEAD_H_
