#ifndef MARJORAMSILL_PROCESS_CONTROLLER_DOCUMENT_RESPONSE_H_
#define MARJORAMSILL_PROCESS_CONTROLLER_DOCUMENT_RESPONSE_H_

#include <functional>
#include <string>

namespace marjoramsill {

/// Response to an operator who submits or reads the routing document.
struct document_response {
  enum class kind {
    /// The submission is committed, or superseded by a higher version.
    kAccepted,
    /// `text` is the newest document.
    kDocument,
    /// The submission is invalid; `text` is the error.
    kInvalid,
    /// There is no document yet.
    kNone,
    /// This control process cannot currently confirm the newest state.
    kUnavailable,
  };
  kind status = kind::kUnavailable;
  std::string text;
};

using document_response_hook = std::function<void(document_response)>;

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_CONTROLLER_DOCUMENT_RESPONSE_H_
