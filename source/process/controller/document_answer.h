#ifndef MARJORAMSILL_PROCESS_CONTROLLER_DOCUMENT_ANSWER_H_
#define MARJORAMSILL_PROCESS_CONTROLLER_DOCUMENT_ANSWER_H_

#include <functional>
#include <string>

namespace marjoramsill {

/// Answer to an operator's submission or read of the routing document.
struct document_answer {
  enum class kind {
    /// The submission is committed, or was overtaken by a higher version.
    kAccepted,
    /// `text` is the newest document.
    kDocument,
    /// `text` says what is wrong with the submission.
    kInvalid,
    /// There is no document yet.
    kNone,
    /// This control process cannot be sure of the newest state now.
    kUnavailable,
  };
  kind what = kind::kUnavailable;
  std::string text;
};

using document_answer_hook = std::function<void(document_answer)>;

}  // namespace marjoramsill

#endif  // MARJORAMSILL_PROCESS_CONTROLLER_DOCUMENT_ANSWER_H_
