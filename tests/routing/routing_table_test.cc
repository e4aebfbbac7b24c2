#include "version/routing/routing_table.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

#include "version/routing/routing_check.h"

namespace marjoramsill {

class routing_table_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(routing_table_test);
  CPPUNIT_TEST(path_matches_longest_prefix);
  CPPUNIT_TEST(path_without_route_finds_nothing);
  CPPUNIT_TEST(host_ignores_port_and_case);
  CPPUNIT_TEST(prefix_ends_at_a_slash);
  CPPUNIT_TEST(pool_is_drawn_by_weight);
  CPPUNIT_TEST(pool_without_weight_is_never_drawn);
  CPPUNIT_TEST(key_selects_its_workspace);
  CPPUNIT_TEST(document_valid_passes_the_check);
  CPPUNIT_TEST(document_with_unknown_pool_is_refused);
  CPPUNIT_TEST(document_with_equal_routes_is_refused);
  CPPUNIT_TEST(document_without_weight_is_refused);
  CPPUNIT_TEST(document_without_timeout_is_refused);
  CPPUNIT_TEST(document_with_shared_key_is_refused);
  CPPUNIT_TEST_SUITE_END();

  static route_rule Route(const std::string& name, const std::string& prefix) {
    route_rule route;
    route.name = name;
    route.host = "rink.example";
    route.path_prefix = prefix;
    route.timeout = std::chrono::milliseconds(800);
    route.targets = {{model_id("desk"), 1}};
    return route;
  }

  static routing_document Document() {
    routing_document document;
    document.version = document_version(3);
    document.pools = {{model_id("desk"), "/healthz", 96, {}},
                      {model_id("chat"), "/healthz", 96, {}}};
    document.routes = {Route("all", "/"), Route("stones", "/stones/"),
                       Route("sets", "/stones/sets/")};
    document.workspaces = {{workspace_id("club"), {"k1", "k2"}, 1},
                           {workspace_id("rink"), {"k3"}, {}}};
    document.requires_keys = true;
    return document;
  }

  static std::string RouteOf(const routing_table& table,
                             const std::string& path) {
    const route_rule* route = table.FindRoute("rink.example", path);
    return route == nullptr ? "none" : route->name;
  }

  static routing_error_kind ErrorOf(const routing_document& document) {
    const auto error = CheckRouting(document);
    CPPUNIT_ASSERT(error.has_value());
    return error->kind;
  }

 public:
  void path_matches_longest_prefix() {
    const routing_table table(Document());
    CPPUNIT_ASSERT_EQUAL(std::string("sets"), RouteOf(table, "/stones/sets/7"));
    CPPUNIT_ASSERT_EQUAL(std::string("stones"), RouteOf(table, "/stones/7"));
    CPPUNIT_ASSERT_EQUAL(std::string("all"), RouteOf(table, "/other/7"));
  }

  void path_without_route_finds_nothing() {
    routing_document document = Document();
    document.routes.erase(document.routes.begin());
    const routing_table table(document);
    CPPUNIT_ASSERT_EQUAL(std::string("none"), RouteOf(table, "/other/7"));
    CPPUNIT_ASSERT(table.FindRoute("other.example", "/stones/7") == nullptr);
  }

  void host_ignores_port_and_case() {
    const routing_table table(Document());
    CPPUNIT_ASSERT(table.FindRoute("RINK.example:8080", "/x") != nullptr);
  }

  void prefix_ends_at_a_slash() {
    // "/stonesmith" must not match the prefix "/stones/".
    const routing_table table(Document());
    CPPUNIT_ASSERT_EQUAL(std::string("all"), RouteOf(table, "/stonesmith"));
  }

  void pool_is_drawn_by_weight() {
    route_rule route = Route("split", "/");
    route.targets = {{model_id("desk"), 90}, {model_id("chat"), 10}};
    int desk = 0;
    for (std::uint64_t i = 0; i < 1'000; ++i) {
      if (routing_table::PickPool(route, i) == model_id("desk")) ++desk;
    }
    CPPUNIT_ASSERT_EQUAL(900, desk);
  }

  void pool_without_weight_is_never_drawn() {
    route_rule route = Route("moved", "/");
    route.targets = {{model_id("desk"), 0}, {model_id("chat"), 5}};
    for (std::uint64_t i = 0; i < 100; ++i) {
      CPPUNIT_ASSERT(routing_table::PickPool(route, i) == model_id("chat"));
    }
  }

  void key_selects_its_workspace() {
    const routing_table table(Document());
    CPPUNIT_ASSERT(table.FindWorkspace("k2")->id == workspace_id("club"));
    CPPUNIT_ASSERT(table.FindWorkspace("k3")->id == workspace_id("rink"));
    CPPUNIT_ASSERT(table.FindWorkspace("k4") == nullptr);
  }

  void document_valid_passes_the_check() {
    CPPUNIT_ASSERT(!CheckRouting(Document()).has_value());
  }

  void document_with_unknown_pool_is_refused() {
    routing_document document = Document();
    document.routes[0].targets[0].pool = model_id("gone");
    CPPUNIT_ASSERT(ErrorOf(document) == routing_error_kind::kUnknownPool);
  }

  void document_with_equal_routes_is_refused() {
    routing_document document = Document();
    document.routes.push_back(Route("again", "/stones/"));
    CPPUNIT_ASSERT(ErrorOf(document) == routing_error_kind::kDuplicateRoute);
  }

  void document_without_weight_is_refused() {
    routing_document document = Document();
    document.routes[1].targets[0].weight = 0;
    CPPUNIT_ASSERT(ErrorOf(document) == routing_error_kind::kNoWeight);
  }

  void document_without_timeout_is_refused() {
    routing_document document = Document();
    document.routes[1].timeout = std::chrono::milliseconds(0);
    CPPUNIT_ASSERT(ErrorOf(document) == routing_error_kind::kNoTimeout);
  }

  void document_with_shared_key_is_refused() {
    routing_document document = Document();
    document.workspaces[1].keys.emplace_back("k1");
    CPPUNIT_ASSERT(ErrorOf(document) == routing_error_kind::kSharedKey);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(routing_table_test);

}  // namespace marjoramsill
