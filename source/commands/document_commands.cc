#include <iostream>
#include <optional>
#include <string>

#include "commands/command.h"
#include "commands/control_client.h"
#include "commands/file_text.h"
#include "process/controller/control_dialect.h"
#include "request/http_status.h"
#include "version/line_difference.h"
#include "version/routing/routing_check.h"

namespace marjoramsill {
namespace {

namespace options = boost::program_options;

exit_code Fail(const char* name, const std::string& reason, exit_code code) {
  std::cerr << "marjoramsill document " << name << ": " << reason << "\n";
  return code;
}

std::string Text(const options::variables_map& values, const char* name) {
  return values[name].as<std::string>();
}

/// What is wrong with a document; nothing if it is valid.
std::optional<std::string> FindFault(const control_dialect& dialect,
                                     const std::string& text) {
  const auto parsed = dialect.read_document(text);
  const auto error = parsed ? CheckRouting(parsed.assume_value())
                            : std::optional(parsed.assume_error());
  if (!error) return std::nullopt;
  return error->where + ": " + RoutingErrorText(error->kind);
}

exit_code Check(const control_dialect& dialect,
                const options::variables_map& values) {
  const std::string path = Text(values, "FILE");
  const auto text = ReadFileText(path);
  if (!text) return Fail("check", "cannot read " + path, exit_code::kFailure);
  if (const auto fault = FindFault(dialect, *text)) {
    return Fail("check", path + ": " + *fault, exit_code::kInvalid);
  }
  std::cout << path << " is a valid document\n";
  return exit_code::kSuccess;
}

exit_code OutcomeOf(const char* name, const control_answer& answer) {
  const std::string status = std::to_string(answer.status);
  if (answer.status == kStatusUnavailable) {
    return Fail(name,
                "the control group has no leader, or its answer was lost; the "
                "same command may be given again",
                exit_code::kUnavailable);
  }
  if (IsClientError(answer.status)) {
    return Fail(name, "refused with " + status + ": " + answer.body,
                exit_code::kInvalid);
  }
  return Fail(name, "the VM answered " + status, exit_code::kFailure);
}

std::optional<control_answer> FetchDocument(
    const control_dialect& dialect, const options::variables_map& values) {
  control_request request;
  request.address = Text(values, "control");
  request.target = dialect.document_path;
  return Fetch(request);
}

exit_code Get(const control_dialect& dialect,
              const options::variables_map& values) {
  const auto answer = FetchDocument(dialect, values);
  if (!answer) return exit_code::kUnavailable;
  if (answer->status == kStatusNotFound) {
    return Fail("get", "no document was accepted yet", exit_code::kFailure);
  }
  if (answer->status != kStatusOk) return OutcomeOf("get", *answer);
  std::cout << answer->body;
  return exit_code::kSuccess;
}

exit_code Diff(const control_dialect& dialect,
               const options::variables_map& values) {
  const std::string path = Text(values, "FILE");
  const auto text = ReadFileText(path);
  if (!text) return Fail("diff", "cannot read " + path, exit_code::kFailure);
  const auto answer = FetchDocument(dialect, values);
  if (!answer) return exit_code::kUnavailable;
  const bool has_document = answer->status == kStatusOk;
  if (!has_document && answer->status != kStatusNotFound) {
    return OutcomeOf("diff", *answer);
  }
  std::cout << LineDifference(has_document ? answer->body : "", *text);
  return exit_code::kSuccess;
}

exit_code Submit(const control_dialect& dialect,
                 const options::variables_map& values) {
  const std::string path = Text(values, "FILE");
  const auto text = ReadFileText(path);
  if (!text) return Fail("submit", "cannot read " + path, exit_code::kFailure);
  control_request request;
  request.method = "PUT";
  request.address = Text(values, "control");
  request.target = dialect.document_path;
  request.body = *text;
  const auto answer = Fetch(request);
  if (!answer) return exit_code::kUnavailable;
  if (answer->status != kStatusOk) return OutcomeOf("submit", *answer);
  std::cout << "accepted\n";
  return exit_code::kSuccess;
}

}  // namespace

std::vector<command> DocumentCommands(const control_dialect& dialect) {
  const auto with = [&dialect](auto run) {
    return [dialect, run](const options::variables_map& values) {
      return run(dialect, values);
    };
  };
  return {
      {"document check",
       "Check a routing document without a VM",
       {"FILE"},
       nullptr,
       with(Check)},
      {"document get",
       "Print the newest accepted routing document",
       {},
       AddControlOption,
       with(Get)},
      {"document diff",
       "Compare a file with the newest accepted routing document",
       {"FILE"},
       AddControlOption,
       with(Diff)},
      {"document submit",
       "Submit a whole routing document",
       {"FILE"},
       AddControlOption,
       with(Submit)},
  };
}

}  // namespace marjoramsill
