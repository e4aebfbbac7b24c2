#include "process/daemon/control_service.h"

#include "connection/http_responder.h"
#include "request/problem.h"

namespace marjoramsill {

void control_service::Handle(
    const http_request& request,
    const std::shared_ptr<http_responder>& responder) const {
  const auto found = handlers_.find(request.method + " " + request.path);
  if (found != handlers_.end()) {
    found->second(request, responder);
    return;
  }
  const problem unknown{problem_kind::kNotFound, execution_status::kNotRun,
                        request.method + " " + request.path, std::nullopt};
  responder->Respond(ProblemStatus(unknown.kind),
                     {{"Content-Type", "application/problem+json"}},
                     ProblemJson(unknown));
}

}  // namespace marjoramsill
