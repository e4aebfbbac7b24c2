#include "process/controller/document_service.h"

#include <chrono>
#include <memory>
#include <optional>
#include <utility>

#include "process/controller/document_store.h"
#include "process/controller/text_compression.h"
#include "process/daemon/event_log.h"
#include "process/daemon/peer_kinds.h"
#include "process/daemon/steady_clock.h"
#include "process/directory/control_watcher.h"
#include "version/routing/routing_check.h"

namespace marjoramsill {
namespace {

/// Shorter than the time after which operators try another control process.
constexpr std::chrono::milliseconds kLeaderTimeout{900};
constexpr const char* kAcceptedText = "accepted";

/// Logs the response to a read: the process that had the document, and the time
/// until it was here.
void LogRead(const char* source, const document_response& response,
             steady_time start) {
  const auto took = std::chrono::duration_cast<std::chrono::milliseconds>(
      SteadyNow() - start);
  LogEvent(
      log_level::kInfo, "document_read",
      {{"source", source},
       {"found",
        response.status == document_response::kind::kDocument ? "yes" : "no"},
       {"bytes", std::to_string(response.text.size())},
       {"took_ms", std::to_string(took.count())}});
}

std::optional<routing_error> ErrorOf(
    const result<routing_document, routing_error>& parsed) {
  if (!parsed) return parsed.assume_error();
  return CheckRouting(parsed.assume_value());
}

}  // namespace

document_service::document_service(const control_dialect& dialect,
                                   document_store& store,
                                   control_watcher& members, double link_mbps,
                                   sending_hook on_sending)
    : dialect_(dialect),
      store_(store),
      members_(members),
      relay_(link_mbps),
      on_sending_(std::move(on_sending)) {}

void document_service::Submit(const std::string& text,
                              const document_response_hook& done) {
  const auto parsed = dialect_.read_document(text);
  if (const auto error = ErrorOf(parsed)) {
    LogEvent(
        log_level::kInfo, "document_refused",
        {{"reason", RoutingErrorText(error->kind)}, {"where", error->where}});
    done({document_response::kind::kInvalid,
          std::string(RoutingErrorText(error->kind)) + ": " + error->where});
    return;
  }
  stored_document document;
  document.version = parsed.assume_value().version;
  document.packed = std::make_shared<const std::string>(PackText(text));
  const auto finish = [done, version = document.version](bool accepted) {
    LogEvent(log_level::kInfo, "document_submitted",
             {{"version", std::to_string(version.value())},
              {"accepted", accepted ? "yes" : "unknown"}});
    done({accepted ? document_response::kind::kAccepted
                   : document_response::kind::kUnavailable,
          ""});
  };
  std::string command = EncodeStoredDocument(document);
  const auto leader = store_.leader();
  if (store_.IsLeading() || !leader) {
    Accept(std::move(command), finish);
    return;
  }
  members_.Request(*leader, std::string(kSubmitDocumentKind),
                   std::move(command), kLeaderTimeout,
                   [finish](const auto& response) {
                     finish(response && *response == kAcceptedText);
                   });
}

/// A document whose version is not above the held one is accepted without a log
/// entry, since it would change nothing.
void document_service::Accept(std::string command,
                              const std::function<void(bool)>& done) {
  const auto document = DecodeStoredDocument(command);
  if (!document || !store_.IsLeading()) {
    done(false);
    return;
  }
  if (document->version <= store_.Held().version) {
    done(store_.IsLeading());
    return;
  }
  store_.Propose(std::move(command),
                 [done](const std::optional<std::string>& held) {
                   done(held.has_value());
                 });
}

void document_service::OnSubmitMessage(
    std::string command, const std::function<void(std::string)>& respond) {
  Accept(std::move(command), [respond](bool accepted) {
    respond(accepted ? kAcceptedText : std::string());
  });
}

document_response document_service::ToResponse(const std::string& encoded,
                                               const stored_document& held) {
  auto document = DecodeStoredDocument(encoded);
  if (!document) return {document_response::kind::kUnavailable, ""};
  const bool is_held = document->version == held.version;
  if (!document->packed && is_held) document->packed = held.packed;
  if (!document->packed) return {document_response::kind::kNone, ""};
  auto text = UnpackText(*document->packed, kMaxDocumentBytes);
  if (!text) return {document_response::kind::kUnavailable, ""};
  return {document_response::kind::kDocument, std::move(*text)};
}

void document_service::Read(const document_response_hook& done) {
  const steady_time start = SteadyNow();
  const auto finish = [this, done, start, held = store_.Held()](
                          const char* source, const std::string& encoded) {
    document_response response = ToResponse(encoded, held);
    LogRead(source, response, start);
    on_sending_(response.text.size());
    done(std::move(response));
  };
  const auto leader = store_.leader();
  if (store_.IsLeading() || !leader) {
    OnReadMessage(
        "", [finish](const std::string& encoded) { finish("here", encoded); });
    return;
  }
  // The leader confirms the version that is held here, so that the text need
  // not cross its link.
  members_.Request(*leader, std::string(kReadDocumentKind),
                   std::to_string(store_.Held().version.value()),
                   kLeaderTimeout, [finish](const auto& response) {
                     finish("leader", response.value_or(""));
                   });
}

void document_service::OnReadMessage(
    const std::string& body,
    const std::function<void(std::string)>& respond) const {
  // The lease is checked after the state is read. If this process still leads,
  // the state is the newest that was acknowledged before the check.
  stored_document document = store_.Held();
  const bool is_known = body == std::to_string(document.version.value());
  if (is_known) document.packed = nullptr;
  std::string encoded = EncodeStoredDocument(document);
  respond(store_.IsLeading() ? std::move(encoded) : std::string());
}

void document_service::OnDocumentMessage(
    const vm_id& requester, const std::string& body,
    const std::function<void(std::string)>& respond) {
  const auto request = DecodeDocumentRequest(body);
  if (!request) {
    respond("");
    return;
  }
  relay_.Request(
      requester, *request,
      [respond](const document_offer& offer) {
        respond(EncodeDocumentOffer(offer));
      },
      store_.Held(), SteadyNow());
}

void document_service::Tick() { relay_.Tick(store_.Held(), SteadyNow()); }

}  // namespace marjoramsill
