#ifndef MARJORAMSILL_COMMANDS_EXIT_CODE_H_
#define MARJORAMSILL_COMMANDS_EXIT_CODE_H_

namespace marjoramsill {

/// Exit codes of all commands; documented in docs/command-line.md.
enum class exit_code {
  kSuccess = 0,
  /// The operation failed; the error line says why.
  kFailure = 1,
  /// The arguments are wrong.
  kUsage = 2,
  /// A settings file or policy section is invalid.
  kInvalid = 3,
  /// A submission was based on an outdated version.
  kConflict = 4,
  /// A submission was denied.
  kDenied = 5,
  /// The VM or the control group could not be reached.
  kUnavailable = 6,
};

}  // namespace marjoramsill

#endif  // MARJORAMSILL_COMMANDS_EXIT_CODE_H_
