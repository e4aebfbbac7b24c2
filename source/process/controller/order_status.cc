#include "process/controller/order_status.h"

#include "request/http_status.h"

namespace marjoramsill {

int StatusOf(document_response::kind outcome) {
  switch (outcome) {
    case document_response::kind::kAccepted:
    case document_response::kind::kDocument:
      return kStatusOk;
    case document_response::kind::kInvalid:
      return kStatusBadRequest;
    case document_response::kind::kNone:
      return kStatusNotFound;
    case document_response::kind::kUnavailable:
      return kStatusUnavailable;
  }
  return kStatusUnavailable;
}

int StatusOf(evacuation_outcome outcome) {
  switch (outcome) {
    case evacuation_outcome::kAcknowledged:
      return kStatusOk;
    case evacuation_outcome::kInvalid:
    case evacuation_outcome::kFull:
      return kStatusBadRequest;
    case evacuation_outcome::kUnknown:
      return kStatusUnavailable;
  }
  return kStatusUnavailable;
}

}  // namespace marjoramsill
