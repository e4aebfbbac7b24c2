#include <cppunit/extensions/HelperMacros.h>
#include <sys/resource.h>

#include <chrono>
#include <cstddef>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "platform/dialect.h"
#include "platform/document_decoder.h"
#include "platform/header_decoder.h"
#include "platform/heartbeat_decoder.h"
#include "process/controller/node_settings.h"
#include "version/routing/routing_check.h"

namespace marjoramsill::platform {

using nlohmann::json;

class platform_decoder_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(platform_decoder_test);
  CPPUNIT_TEST(document_is_decoded_into_routes_pools_and_keys);
  CPPUNIT_TEST(document_without_keys_requires_none);
  CPPUNIT_TEST(document_with_a_field_of_a_wrong_type_is_malformed);
  CPPUNIT_TEST(document_with_a_number_too_large_is_malformed);
  CPPUNIT_TEST(truncated_document_is_malformed);
  CPPUNIT_TEST(damaged_document_does_not_throw);
  CPPUNIT_TEST(heartbeat_is_decoded);
  CPPUNIT_TEST(heartbeat_without_a_valid_required_field_is_malformed);
  CPPUNIT_TEST(heartbeat_with_a_field_out_of_range_is_refused);
  CPPUNIT_TEST(heartbeat_of_any_shape_takes_little_memory);
  CPPUNIT_TEST(document_of_any_shape_takes_little_memory);
  CPPUNIT_TEST(demand_is_decoded_with_its_parts);
  CPPUNIT_TEST(prefixes_of_different_models_have_different_hashes);
  CPPUNIT_TEST(malformed_load_is_ignored);
  CPPUNIT_TEST(malformed_refusal_limit_is_ignored);
  CPPUNIT_TEST(pause_is_decoded_from_a_refusal);
  CPPUNIT_TEST(leaving_is_decoded_from_any_response);
  CPPUNIT_TEST(warm_up_limit_is_decoded_from_the_service);
  CPPUNIT_TEST(warm_up_limit_of_a_wrong_type_is_malformed);
  CPPUNIT_TEST(remaining_warm_up_is_decoded_from_any_response);
  CPPUNIT_TEST(warm_up_bound_is_read_from_the_settings);
  CPPUNIT_TEST_SUITE_END();

  /// An eighth of the memory of the smallest VM, 256 MB.
  static constexpr long kMaxParsedMegabytes = 32;

  static json Document() {
    return json::parse(R"({"version":7,"routes":[
      {"name":"a","host":"F.example:80","pathPrefix":"/p/",
       "routeType":"streaming","timeoutMs":15000,"targetLatencyMs":1200,
       "priority":2,"backends":[{"service":"s1","weight":90},
       {"service":"s2","weight":10}],"maxAttempts":2,"public":false,
       "sticky":true,"resumable":true,"gapAimMs":250},
      {"name":"b","host":"f.example","pathPrefix":"/q/",
       "routeType":"non_idempotent","timeoutMs":800,"service":"s2",
       "public":true}],
      "services":[{"name":"s1","healthPath":"/h","maxConns":610,
       "runtime":{"slots":128,"kvCapacity":849553}},{"name":"s2"}],
      "limits":{"maxHeaderBytes":100,"maxBodyBytes":200,
       "headerTimeoutMs":300,"idleTimeoutMs":400},
      "tenants":[{"name":"t","apiKeys":["k"],"priority":1}]})");
  }

  static json Heartbeat() {
    return json{{"service", "s1"},       {"address", "10.0.0.1:8080"},
                {"zone", "perth"},       {"version", "v1"},
                {"slots", 128},          {"state", "ready"},
                {"coldRemainingMs", 40}, {"sequence", 4},
                {"born", 1700000000000}};
  }

  static bool IsValidHeartbeat(const json& body) {
    return DecodeHeartbeat(endpoint_id("e"), body.dump()).has_value();
  }

 public:
  void document_is_decoded_into_routes_pools_and_keys() {
    const auto decoded = DecodeDocument(Document().dump());
    CPPUNIT_ASSERT(decoded.has_value());
    const routing_document& document = decoded.assume_value();
    CPPUNIT_ASSERT(document.version == document_version(7));
    const route_rule& route = document.routes.front();
    CPPUNIT_ASSERT_EQUAL(std::string("f.example"), route.host);
    CPPUNIT_ASSERT(route.kind == route_kind::kStreaming);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, route.targets.size());
    CPPUNIT_ASSERT_EQUAL(9U, route.targets[0].weight / route.targets[1].weight);
    CPPUNIT_ASSERT(route.IsRepeatable());
    CPPUNIT_ASSERT(document.routes[1].is_public);
    CPPUNIT_ASSERT(!document.routes[1].IsRepeatable());
    CPPUNIT_ASSERT_EQUAL(1, document.routes[1].max_attempts);
    CPPUNIT_ASSERT_EQUAL(128U, document.pools[0].engine->slots);
    CPPUNIT_ASSERT(!document.pools[1].engine.has_value());
    CPPUNIT_ASSERT(document.requires_keys);
    CPPUNIT_ASSERT_EQUAL(std::size_t{200}, document.limits.max_body_bytes);
    CPPUNIT_ASSERT(!CheckRouting(document).has_value());
  }

  void document_without_keys_requires_none() {
    json document = Document();
    document.erase("tenants");
    CPPUNIT_ASSERT(
        !DecodeDocument(document.dump()).assume_value().requires_keys);
  }

  void document_with_a_field_of_a_wrong_type_is_malformed() {
    for (const char* path :
         {"/version", "/routes", "/services", "/tenants", "/limits",
          "/routes/0/host", "/routes/0/routeType", "/routes/0/timeoutMs",
          "/routes/0/backends", "/routes/0/backends/0/weight",
          "/routes/0/sticky", "/services/0/name", "/tenants/0/apiKeys",
          "/limits/maxBodyBytes"}) {
      json document = Document();
      document[json::json_pointer(path)] = json::array({nullptr});
      CPPUNIT_ASSERT_MESSAGE(path, !DecodeDocument(document.dump()));
      document[json::json_pointer(path)] = -1;
      CPPUNIT_ASSERT_MESSAGE(path, !DecodeDocument(document.dump()));
    }
  }

  // Guards against a conversion of a number that no integer can hold.
  void document_with_a_number_too_large_is_malformed() {
    for (const char* path : {"/routes/0/timeoutMs", "/services/0/maxConns",
                             "/limits/maxBodyBytes"}) {
      json document = Document();
      document[json::json_pointer(path)] = 1e300;
      CPPUNIT_ASSERT_MESSAGE(path, !DecodeDocument(document.dump()));
    }
  }

  void truncated_document_is_malformed() {
    const std::string text = Document().dump();
    for (std::size_t length = 0; length < text.size(); ++length) {
      CPPUNIT_ASSERT(!DecodeDocument(text.substr(0, length)));
    }
  }

  void damaged_document_does_not_throw() {
    const std::string valid = Document().dump();
    std::mt19937 random(20261203);
    for (int i = 0; i < 5'000; ++i) {
      std::string text = valid;
      text[random() % text.size()] = static_cast<char>(random());
      CPPUNIT_ASSERT_NO_THROW(DecodeDocument(text).has_value());
      CPPUNIT_ASSERT_NO_THROW(DecodeHeartbeat(endpoint_id("e"), text));
    }
  }

  void heartbeat_is_decoded() {
    const auto decoded = DecodeHeartbeat(endpoint_id("e"), Heartbeat().dump());
    CPPUNIT_ASSERT(decoded.has_value());
    const endpoint_record& record = decoded.assume_value();
    CPPUNIT_ASSERT(record.phase == endpoint_phase::kReady);
    CPPUNIT_ASSERT(record.incarnation == incarnation_number(1'700'000'000'000));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, record.sequence);
    json leaving = Heartbeat();
    leaving["state"] = "draining";
    CPPUNIT_ASSERT(DecodeHeartbeat(endpoint_id("e"), leaving.dump())
                       .assume_value()
                       .phase == endpoint_phase::kLeaving);
  }

  void heartbeat_without_a_valid_required_field_is_malformed() {
    // Without its version an endpoint would count as one of another version, or
    // as one of the same version as every other such endpoint.
    for (const char* field : {"service", "address", "zone", "version", "slots",
                              "state", "sequence", "born"}) {
      json missing = Heartbeat();
      missing.erase(field);
      CPPUNIT_ASSERT_MESSAGE(field, !IsValidHeartbeat(missing));
      json wrong_type = Heartbeat();
      wrong_type[field] = json::object();
      CPPUNIT_ASSERT_MESSAGE(field, !IsValidHeartbeat(wrong_type));
    }
    json unknown = Heartbeat();
    unknown["state"] = "resting";
    CPPUNIT_ASSERT(!IsValidHeartbeat(unknown));
    json bad_address = Heartbeat();
    bad_address["address"] = "somewhere";
    CPPUNIT_ASSERT(!IsValidHeartbeat(bad_address));
    CPPUNIT_ASSERT(!DecodeHeartbeat(endpoint_id("e"), "\xff{").has_value());
  }

  // Guards against numbers that wrap or outlive all others, and texts that fill
  // links and logs.
  /// Texts of 4 MB that hold as many values as possible.
  static std::vector<std::string> LargeTexts() {
    constexpr std::size_t kBytes = 4'000'000;
    std::vector<std::string> texts;
    for (const std::string each : {"[", "{\"a\":", "[],", "{},", "1,"}) {
      std::string text = each.back() == ',' ? "[" : "";
      while (text.size() < kBytes) text += each;
      if (each.back() == ',') text += "1]";
      texts.push_back(std::move(text));
    }
    texts.push_back("{\"service\":" + texts.back() + "}");
    return texts;
  }

  static long PeakMegabytes() {
    constexpr long kKilobytes = 1'024;
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    return usage.ru_maxrss / kKilobytes;
  }

  // Guards against a control process that runs out of memory while it parses a
  // heartbeat of another writer.
  void heartbeat_of_any_shape_takes_little_memory() {
    const std::vector<std::string> texts = LargeTexts();
    const long before = PeakMegabytes();
    for (const std::string& text : texts) {
      CPPUNIT_ASSERT(!DecodeHeartbeat(endpoint_id("i-1"), text));
      CPPUNIT_ASSERT(PeakMegabytes() - before < kMaxParsedMegabytes);
    }
  }

  void document_of_any_shape_takes_little_memory() {
    const std::vector<std::string> texts = LargeTexts();
    const long before = PeakMegabytes();
    for (const std::string& text : texts) {
      CPPUNIT_ASSERT(!DecodeDocument(text));
      CPPUNIT_ASSERT(PeakMegabytes() - before < kMaxParsedMegabytes);
    }
  }

  void heartbeat_with_a_field_out_of_range_is_refused() {
    const std::string long_text(257, 'a');
    const std::vector<std::pair<const char*, json>> fields = {
        {"slots", 4294967296},
        {"slots", 4294967295},
        {"coldRemainingMs", 18446744073709551615U},
        {"born", 18446744073709551615U},
        {"sequence", 18446744073709551615U},
        {"zone", long_text},
        {"zone", "a\nb"},
        {"version", long_text},
        {"version", ""},
        {"service", ""},
        {"service", std::string("a\0b", 3)},
        {"address", "10.0.0.1:65536"},
        {"address", "10.0.0.1:0"}};
    for (const auto& [name, value] : fields) {
      json body = Heartbeat();
      body[name] = value;
      const auto decoded = DecodeHeartbeat(endpoint_id("e"), body.dump());
      CPPUNIT_ASSERT_MESSAGE(body.dump(), !decoded);
      CPPUNIT_ASSERT_EQUAL(std::string(name), decoded.assume_error().field);
    }
    CPPUNIT_ASSERT(
        !DecodeHeartbeat(endpoint_id(long_text), Heartbeat().dump()));
    CPPUNIT_ASSERT(!DecodeHeartbeat(endpoint_id("a\nb"), Heartbeat().dump()));
  }

  void warm_up_limit_is_decoded_from_the_service() {
    json document = Document();
    document["services"][0]["coldStartS"] = 12.5;
    document["services"][0]["coldPerS"] = 7.9;
    document["services"][1]["coldStartS"] = 12;
    document["services"][1]["coldPerS"] = 0;
    const auto decoded = DecodeDocument(document.dump());
    const auto& pools = decoded.assume_value().pools;
    CPPUNIT_ASSERT(pools[0].warm_up.has_value());
    CPPUNIT_ASSERT_EQUAL(7.9, pools[0].warm_up->per_second);
    CPPUNIT_ASSERT(pools[0].warm_up->duration ==
                   std::chrono::milliseconds(12'500));
    CPPUNIT_ASSERT(!pools[1].warm_up.has_value());
    const auto without = DecodeDocument(Document().dump());
    CPPUNIT_ASSERT(!without.assume_value().pools[0].warm_up.has_value());
  }

  void warm_up_limit_of_a_wrong_type_is_malformed() {
    for (const char* name : {"coldStartS", "coldPerS"}) {
      for (const json& value : {json("7"), json(-1), json(1e300), json::array(),
                                json(true), json(nullptr)}) {
        json document = Document();
        document["services"][0][name] = value;
        const auto decoded = DecodeDocument(document.dump());
        CPPUNIT_ASSERT_MESSAGE(document.dump(), !decoded);
      }
    }
  }

  void remaining_warm_up_is_decoded_from_any_response() {
    const auto decode = [](const char* text) {
      return DecodeTerms(200, {{"Cold-Ms", text}}).cold_left;
    };
    CPPUNIT_ASSERT(decode("8600") == std::chrono::milliseconds(8'600));
    CPPUNIT_ASSERT(decode("0") == std::chrono::milliseconds(0));
    for (const char* text : {"", "x", "-1", "1.5", "99999999999"}) {
      CPPUNIT_ASSERT_MESSAGE(text, !decode(text));
    }
    CPPUNIT_ASSERT(!DecodeTerms(200, {}).cold_left);
  }

  // Deployments without these settings keep the announced rate.
  void warm_up_bound_is_read_from_the_settings() {
    const std::string text =
        "failure_domain: \"a\"\npeers: \"10.0.0.1:7000\"\n";
    const auto without = ParseNodeSettings("node.yaml", text);
    CPPUNIT_ASSERT(without.assume_value().warm_up == warm_up_bound{});
    const auto with = ParseNodeSettings(
        "node.yaml", text + "cold_overage: 1.5\ncold_slack: 5\n");
    CPPUNIT_ASSERT((with.assume_value().warm_up == warm_up_bound{1.5, 5}));
    const auto low =
        ParseNodeSettings("node.yaml", text + "cold_overage: 0.5\n");
    CPPUNIT_ASSERT(!low.has_value());
  }

  void demand_is_decoded_with_its_parts() {
    const request_demand demand =
        DecodeDemand({{"Token-Usage", "1460,80"},
                      {"Prompt-Prefix", "5c:800,91:410,e4:250"}});
    CPPUNIT_ASSERT(demand.prompt == token_count(1'460));
    CPPUNIT_ASSERT(demand.output == token_count(80));
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, demand.parts.size());
    CPPUNIT_ASSERT(demand.parts[1].tokens == token_count(410));
  }

  void prefixes_of_different_models_have_different_hashes() {
    const http_field prefix{"Prompt-Prefix", "5c:800"};
    const auto a = DecodeDemand({{"Model", "m"}, prefix});
    const auto b = DecodeDemand({{"Model", "n"}, prefix});
    CPPUNIT_ASSERT(a.parts[0].hash != b.parts[0].hash);
  }

  void malformed_refusal_limit_is_ignored() {
    const auto decode = [](const char* text) {
      return DecodeTerms(200, {{"Server-Brittle", text}}).refusal_limit;
    };
    CPPUNIT_ASSERT(decode("3") == 3U);
    CPPUNIT_ASSERT(decode("0") == 0U);
    for (const char* text : {"", "x", "-1", "1.5", "3 ", "4294967295"}) {
      CPPUNIT_ASSERT(!decode(text));
    }
    CPPUNIT_ASSERT(!DecodeTerms(200, {}).refusal_limit);
  }

  void leaving_is_decoded_from_any_response() {
    for (const int status : {200, 500, 503}) {
      CPPUNIT_ASSERT(DecodeTerms(status, {{"Server-Leaving", "1"}}).is_leaving);
      CPPUNIT_ASSERT(
          !DecodeTerms(status, {{"Server-Leaving", "0"}}).is_leaving);
      CPPUNIT_ASSERT(!DecodeTerms(status, {}).is_leaving);
    }
  }

  void pause_is_decoded_from_a_refusal() {
    const auto decode = [](int status, const char* text) {
      return DecodeTerms(status, {{"Retry-After", text}});
    };
    CPPUNIT_ASSERT_EQUAL(std::int64_t{2'000}, decode(503, "2").pause->count());
    CPPUNIT_ASSERT_EQUAL(std::int64_t{1'751},
                         decode(503, "1.7505").pause->count());
    CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, decode(503, "0").pause->count());
    CPPUNIT_ASSERT_EQUAL(std::int64_t{86'400'000},
                         decode(503, "99999999999999999999").pause->count());
    for (const char* text : {"", "-1", "soon", "2 s", "nan", "inf", "0x2",
                             "Wed, 21 Oct 2026 07:28:00 GMT"}) {
      CPPUNIT_ASSERT_MESSAGE(text, !decode(503, text).pause);
      CPPUNIT_ASSERT_MESSAGE(text, decode(503, text).is_pause_unreadable);
    }
    CPPUNIT_ASSERT(!decode(200, "2").pause);
    CPPUNIT_ASSERT(!decode(200, "soon").is_pause_unreadable);
    CPPUNIT_ASSERT(!DecodeTerms(503, {}).is_pause_unreadable);
  }

  void malformed_load_is_ignored() {
    CPPUNIT_ASSERT_EQUAL(3U, DecodeLoad({{"Server-Load", "3,0,8"}})->running);
    for (const char* text :
         {"", "3", "3,0", "a,b,c", "3,-1,8", "4294967297,0,8", "0,0,1e3"}) {
      CPPUNIT_ASSERT(!DecodeLoad({{"Server-Load", text}}).has_value());
    }
    // A malformed duration must not hide the load.
    const auto stated = DecodeLoad({{"Server-Load", "3,0,8,250"}});
    CPPUNIT_ASSERT(stated->duration_percent == 250U);
    for (const char* text :
         {"3,0,8", "3,0,8,", "3,0,8,0", "3,0,8,-1", "3,0,8,x", "3,0,8,10001"}) {
      const auto load = DecodeLoad({{"Server-Load", text}});
      CPPUNIT_ASSERT_EQUAL(8U, load->slots);
      CPPUNIT_ASSERT(!load->duration_percent.has_value());
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(platform_decoder_test);

}  // namespace marjoramsill::platform
