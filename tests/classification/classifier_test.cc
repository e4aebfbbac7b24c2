#include "request/classifier.h"

#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "request/http_request.h"
#include "version/snapshot_builder.h"

namespace marjoramsill {
namespace {

using std::chrono::milliseconds;
using edit = std::function<void(http_request&)>;

const std::string kChatBody =
    R"({"model":"draft","messages":[{"role":"user","content":"hello"}]})";

struct refused_case {
  std::string name;
  problem_kind kind;
  edit change;
};

http_request ChatRequest() {
  return {"POST",
          "/v1/chat/completions",
          "",
          {{"X-Workspace", "club"}, {"X-Chat-Id", "c1"}},
          kChatBody};
}

http_request ServiceCall(const std::string& method, const std::string& path) {
  return {method,
          "/v1/services/bookings" + path,
          "",
          {{"X-Workspace", "club"}},
          ""};
}

edit Add(const std::string& name, const std::string& value) {
  return [name, value](http_request& request) {
    request.fields.push_back({name, value});
  };
}

edit Body(const std::string& body) {
  return [body](http_request& request) { request.body = body; };
}

std::string ChatBody(const std::string& members) {
  return R"({"model":"draft",)" + members + "}";
}

const std::string kMessages = R"("messages":[{"role":"user","content":"x"}])";

/// A chat body whose innermost array is `depth` levels below the top object.
std::string NestedBody(std::size_t depth) {
  return ChatBody(kMessages + R"(,"extra":)" + std::string(depth, '[') +
                  std::string(depth, ']'));
}

}  // namespace

class classifier_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(classifier_test);
  CPPUNIT_TEST(request_invalid_is_refused_as_not_run);
  CPPUNIT_TEST(request_body_at_bound_is_accepted_and_above_refused);
  CPPUNIT_TEST(request_without_headers_takes_policy_defaults);
  CPPUNIT_TEST(request_deadline_is_bounded_by_its_rank);
  CPPUNIT_TEST(chat_nested_up_to_the_bound_is_accepted);
  CPPUNIT_TEST(chat_placement_follows_workspace_and_chat);
  CPPUNIT_TEST(service_call_repeatable_follows_policy);
  CPPUNIT_TEST(service_call_unrepeatable_needs_a_key);
  CPPUNIT_TEST_SUITE_END();

  std::shared_ptr<const policy_snapshot> policy_;
  classifier_limits limits_;

  result<classified_request, problem> Run(const http_request& request) const {
    return Classify(request, *policy_, limits_);
  }

  void IsRefused(const std::string& name, problem_kind kind,
                 const http_request& request) const {
    const auto classified = Run(request);
    CPPUNIT_ASSERT_MESSAGE("accepted: " + name, !classified);
    const problem& refusal = classified.assume_error();
    CPPUNIT_ASSERT_EQUAL_MESSAGE(name, std::string(ProblemName(kind)),
                                 std::string(ProblemName(refusal.kind)));
    CPPUNIT_ASSERT_MESSAGE(name, refusal.run == execution_status::kNotRun);
    const auto body = nlohmann::json::parse(ProblemJson(refusal));
    CPPUNIT_ASSERT_MESSAGE(name, body.at("run") == "not run");
    CPPUNIT_ASSERT_MESSAGE(name, !refusal.detail.empty());
  }

 public:
  void setUp() override {
    snapshot_builder builder;
    rank_policy ranked;
    ranked.default_deadline = milliseconds(4'000);
    ranked.maximum_deadline = milliseconds(9'000);
    builder.SetRank(rank::kStandard, ranked);
    ranked.maximum_deadline = milliseconds(5'000);
    builder.SetRank(rank::kUrgent, ranked);
    workspace_policy workspace;
    workspace.tokens_per_second = 1'000;
    workspace.concurrent_requests = 10;
    // Urgent and standard, not background.
    workspace.allowed_ranks = 0b011;
    builder.SetWorkspace(workspace_id("club"), workspace);
    builder.SetPool(model_id("draft"), pool_policy());
    pool_policy service;
    service.is_service = true;
    service.calls = {{"POST", "/search/*", true}, {"GET", "/ticket", false}};
    builder.SetPool(model_id("bookings"), service);
    policy_ = builder.Build(document_version(1), true);
  }

  // Guards against invalid or forbidden requests that reach an endpoint, and
  // against a refusal that does not say that the request has not run.
  void request_invalid_is_refused_as_not_run() {
    using kind = problem_kind;
    const std::vector<refused_case> cases = {
        {"no workspace", kind::kInvalidHeader,
         [](http_request& r) { r.fields.clear(); }},
        {"unknown workspace", kind::kUnknownWorkspace,
         [](http_request& r) { r.fields[0].value = "clu"; }},
        {"workspace twice", kind::kInvalidHeader, Add("x-workspace", "club")},
        {"rank twice", kind::kInvalidHeader,
         [](http_request& r) {
           r.fields.push_back({"X-Rank", "urgent"});
           r.fields.push_back({"X-Rank", "urgent"});
         }},
        {"chat twice", kind::kInvalidHeader, Add("X-CHAT-ID", "c1")},
        {"long chat", kind::kInvalidHeader,
         [](http_request& r) { r.fields[1].value.assign(256, 'c'); }},
        {"unknown rank", kind::kInvalidHeader, Add("X-Rank", "Urgent")},
        {"rank not allowed", kind::kRankNotAllowed,
         Add("X-Rank", "background")},
        {"deadline 0", kind::kInvalidHeader, Add("X-Deadline-Ms", "0")},
        {"deadline negative", kind::kInvalidHeader, Add("X-Deadline-Ms", "-1")},
        {"deadline above", kind::kInvalidHeader, Add("X-Deadline-Ms", "9001")},
        {"deadline text", kind::kInvalidHeader, Add("X-Deadline-Ms", "12a")},
        {"deadline overflow", kind::kInvalidHeader,
         Add("X-Deadline-Ms", "99999999999999999999")},
        {"other path", kind::kNotFound,
         [](http_request& r) { r.path = "/v1/chat/completions/"; }},
        {"other method", kind::kNotFound,
         [](http_request& r) { r.method = "GET"; }},
        {"no JSON", kind::kMalformedRequest, Body("{\"model\":")},
        {"empty body", kind::kMalformedRequest, Body("")},
        {"JSON array", kind::kMalformedRequest, Body("[]")},
        {"invalid UTF-8", kind::kMalformedRequest,
         Body("{\"model\":\"\xff\"}")},
        {"too deep", kind::kMalformedRequest, Body(NestedBody(32))},
        {"very deep", kind::kMalformedRequest, Body(NestedBody(1'000'000))},
        {"no model", kind::kMalformedRequest, Body("{" + kMessages + "}")},
        {"model a number", kind::kMalformedRequest,
         Body(R"({"model":1,)" + kMessages + "}")},
        {"unknown model", kind::kUnknownModel,
         Body(R"({"model":"other",)" + kMessages + "}")},
        {"service as model", kind::kUnknownModel,
         Body(R"({"model":"bookings",)" + kMessages + "}")},
        {"no messages", kind::kMalformedRequest, Body(R"({"model":"draft"})")},
        {"empty messages", kind::kMalformedRequest,
         Body(ChatBody(R"("messages":[])"))},
        {"message without role", kind::kMalformedRequest,
         Body(ChatBody(R"("messages":[{"content":"x"}])"))},
        {"max_tokens 0", kind::kMalformedRequest,
         Body(ChatBody(kMessages + R"(,"max_tokens":0)"))},
        {"max_tokens above", kind::kMalformedRequest,
         Body(ChatBody(kMessages + R"(,"max_tokens":1000001)"))},
        {"stream a text", kind::kMalformedRequest,
         Body(ChatBody(kMessages + R"(,"stream":"yes")"))},
        {"unknown service", kind::kUnknownModel,
         [](http_request& r) { r.path = "/v1/services/other/x"; }},
        {"model as service", kind::kUnknownModel,
         [](http_request& r) { r.path = "/v1/services/draft/x"; }},
        {"service without name", kind::kUnknownModel,
         [](http_request& r) { r.path = "/v1/services/"; }},
    };
    for (const refused_case& c : cases) {
      http_request request = ChatRequest();
      c.change(request);
      IsRefused(c.name, c.kind, request);
    }
  }

  // Guards against a size limit that is off by one or not applied.
  void request_body_at_bound_is_accepted_and_above_refused() {
    limits_.max_body_bytes = kChatBody.size();
    http_request request = ChatRequest();
    CPPUNIT_ASSERT(Run(request));
    request.body += ' ';
    IsRefused("oversized", problem_kind::kBodyTooLarge, request);
  }

  // Guards against defaults that differ from the policy of workspace and rank.
  void request_without_headers_takes_policy_defaults() {
    const auto classified = Run(ChatRequest());
    CPPUNIT_ASSERT(classified);
    const classified_request& request = classified.assume_value();
    CPPUNIT_ASSERT(request.rank == rank::kStandard);
    CPPUNIT_ASSERT(request.deadline == milliseconds(4'000));
    CPPUNIT_ASSERT(request.pool == model_id("draft"));
    CPPUNIT_ASSERT(request.limits.concurrent_requests == 10);
    CPPUNIT_ASSERT(request.repeatable && !request.streamed);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{256},
                         request.cost.value() - request.prompt_tokens.value());
  }

  // Guards against applying the maximum deadline of one rank to another.
  void request_deadline_is_bounded_by_its_rank() {
    http_request request = ChatRequest();
    Add("X-Deadline-Ms", "9000")(request);
    const auto classified = Run(request);
    CPPUNIT_ASSERT(classified);
    CPPUNIT_ASSERT(classified.assume_value().deadline == milliseconds(9'000));
    Add("X-Rank", "urgent")(request);
    IsRefused("urgent", problem_kind::kInvalidHeader, request);
  }

  // Guards against refusing ordinary nested content.
  void chat_nested_up_to_the_bound_is_accepted() {
    http_request request = ChatRequest();
    // The top object is one more level.
    request.body = NestedBody(31);
    CPPUNIT_ASSERT(Run(request));
  }

  // Guards against a chat that loses its prefix cache because its next request
  // hashes to another endpoint, and against treating equal chat ids of two
  // workspaces as one chat.
  void chat_placement_follows_workspace_and_chat() {
    http_request request = ChatRequest();
    const std::string first = Run(request).assume_value().placement_text;
    request.body = ChatBody(
        R"("messages":[{"role":"user","content":"y"},{"role":"user"}])");
    CPPUNIT_ASSERT_EQUAL(first, Run(request).assume_value().placement_text);
    request.fields[1].value = "c2";
    CPPUNIT_ASSERT(Run(request).assume_value().placement_text != first);
    request.fields.pop_back();
    const std::string opening = Run(request).assume_value().placement_text;
    request.body = ChatBody(
        R"("messages":[{"role":"user","content":"y"},{"role":"tool"}])");
    CPPUNIT_ASSERT_EQUAL(opening, Run(request).assume_value().placement_text);
  }

  // Guards against retrying a non-repeatable call such as a booking, and
  // against a slower claim for a call that only reads.
  void service_call_repeatable_follows_policy() {
    struct expected {
      std::string method;
      std::string path;
      bool repeatable;
    };
    const std::vector<expected> cases = {
        {"GET", "/stones", true},          {"HEAD", "/stones", true},
        {"POST", "/search/stones", true},  {"POST", "/search", false},
        {"POST", "/stones", false},        {"PUT", "/search/stones", false},
        {"GET", "/ticket", false},         {"GET", "/x/../ticket", false},
        {"GET", "/%74icket", false},       {"POST", "/search/../pay", false},
        {"post", "/search/stones", false}, {"DELETE", "/stones", false},
    };
    for (const expected& c : cases) {
      http_request request = ServiceCall(c.method, c.path);
      request.query = "q=1";
      Add("Idempotency-Key", "k1")(request);
      const auto classified = Run(request);
      CPPUNIT_ASSERT_MESSAGE(c.method + c.path, classified.has_value());
      const classified_request& call = classified.assume_value();
      CPPUNIT_ASSERT_EQUAL_MESSAGE(c.method + c.path, c.repeatable,
                                   call.repeatable);
      CPPUNIT_ASSERT_EQUAL(c.path + "?q=1", call.target);
    }
  }

  // Guards against a non-repeatable call without a key to claim.
  void service_call_unrepeatable_needs_a_key() {
    http_request request = ServiceCall("POST", "/pay");
    IsRefused("no key", problem_kind::kMissingIdempotencyKey, request);
    Add("Idempotency-Key", "")(request);
    IsRefused("empty key", problem_kind::kMissingIdempotencyKey, request);
    Add("Idempotency-Key", "k2")(request);
    IsRefused("two keys", problem_kind::kInvalidHeader, request);
    request.fields = {{"X-Workspace", "club"}, {"idempotency-key", "k1"}};
    const auto classified = Run(request);
    CPPUNIT_ASSERT(classified);
    CPPUNIT_ASSERT(classified.assume_value().key == idempotency_key("k1"));
    CPPUNIT_ASSERT(!classified.assume_value().repeatable);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(classifier_test);

}  // namespace marjoramsill
