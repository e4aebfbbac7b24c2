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

/// Describes the first error of a document; nothing if it is valid.
std::optional<std::string> FindError(const control_dialect& dialect,
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
  if (const auto error_text = FindError(dialect, *text)) {
    return Fail("check", path + ": " + *error_text, exit_code::kInvalid);
  }
  std::cout << path << " is a valid document\n";
  return exit_code::kSuccess;
}

/// Prints why the request failed and returns the matching exit code.
exit_code ReportFailure(const char* name, const control_response& response) {
  const std::string status = std::to_string(response.status);
  if (response.status == kStatusUnavailable) {
    return Fail(
        name,
        "the control group has no leader or its response was lost; it is "
        "safe to run the same command again",
        exit_code::kUnavailable);
  }
  if (IsClientError(response.status)) {
    return Fail(name, "refused with " + status + ": " + response.body,
                exit_code::kInvalid);
  }
  return Fail(name, "the VM responded with status " + status,
              exit_code::kFailure);
}

std::optional<control_response> FetchDocument(
    const control_dialect& dialect, const options::variables_map& values) {
  control_request request;
  request.address = Text(values, "control");
  request.target = dialect.document_path;
  return Fetch(request);
}

exit_code Get(const control_dialect& dialect,
              const options::variables_map& values) {
  const auto response = FetchDocument(dialect, values);
  if (!response) return exit_code::kUnavailable;
  if (response->status == kStatusNotFound) {
    return Fail("get", "no document has been accepted yet",
                exit_code::kFailure);
  }
  if (response->status != kStatusOk) return ReportFailure("get", *response);
  std::cout << response->body;
  return exit_code::kSuccess;
}

exit_code Diff(const control_dialect& dialect,
               const options::variables_map& values) {
  const std::string path = Text(values, "FILE");
  const auto text = ReadFileText(path);
  if (!text) return Fail("diff", "cannot read " + path, exit_code::kFailure);
  const auto response = FetchDocument(dialect, values);
  if (!response) return exit_code::kUnavailable;
  const bool has_document = response->status == kStatusOk;
  if (!has_document && response->status != kStatusNotFound) {
    return ReportFailure("diff", *response);
  }
  std::cout << LineDifference(has_document ? response->body : "", *text);
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
  const auto response = Fetch(request);
  if (!response) return exit_code::kUnavailable;
  if (response->status != kStatusOk) return ReportFailure("submit", *response);
  std::cout << "accepted\n";
  return exit_code::kSuccess;
}

}  // namespace

std::vector<command> DocumentCommands(const control_dialect& dialect) {
  const auto bind_dialect = [&dialect](auto run) {
    return [dialect, run](const options::variables_map& values) {
      return run(dialect, values);
    };
  };
  return {
      {"document check",
       "Check a routing document without a VM",
       {"FILE"},
       nullptr,
       bind_dialect(Check)},
      {"document get",
       "Print the newest accepted routing document",
       {},
       AddControlOption,
       bind_dialect(Get)},
      {"document diff",
       "Compare a file with the newest accepted routing document",
       {"FILE"},
       AddControlOption,
       bind_dialect(Diff)},
      {"document submit",
       "Submit a complete routing document",
       {"FILE"},
       AddControlOption,
       bind_dialect(Submit)},
  };
}

}  // namespace marjoramsill
