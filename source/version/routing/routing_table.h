#ifndef MARJORAMSILL_VERSION_ROUTING_ROUTING_TABLE_H_
#define MARJORAMSILL_VERSION_ROUTING_ROUTING_TABLE_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>

#include "version/routing/routing_document.h"

namespace marjoramsill {

/// A routing document with indexes for lookups. Immutable; each request holds a
/// reference to it until the request ends.
class routing_table {
 public:
  explicit routing_table(routing_document document);
  // Not copyable, because the indexes point into the document.
  routing_table(const routing_table&) = delete;
  routing_table& operator=(const routing_table&) = delete;

  /// The route of the host with the longest matching prefix, or null. `host`
  /// may include a port; `path` must not include a query.
  const route_rule* FindRoute(std::string_view host,
                              std::string_view path) const;
  /// The workspace that holds the key, or null.
  const workspace_spec* FindWorkspace(std::string_view key) const;
  const pool_spec* FindPool(const model_id& id) const;
  /// The pool for a request, selected by weight. `random` is a uniformly
  /// distributed number.
  static const model_id& PickPool(const route_rule& route,
                                  std::uint64_t random);

  const routing_document& document() const { return document_; }
  document_version version() const { return document_.version; }

 private:
  using prefix_map = std::unordered_map<std::string_view, const route_rule*>;

  const routing_document document_;
  std::map<std::string, prefix_map, std::less<>> hosts_;
  std::unordered_map<std::string_view, const workspace_spec*> keys_;
  std::map<model_id, const pool_spec*> pools_;
};

/// Host without its port, in lower case.
std::string NormalizeHost(std::string_view host);

}  // namespace marjoramsill

#endif  // MARJORAMSILL_VERSION_ROUTING_ROUTING_TABLE_H_
