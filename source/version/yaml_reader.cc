#include "version/yaml_reader.h"

#include <yaml-cpp/eventhandler.h>
#include <yaml-cpp/exceptions.h>
#include <yaml-cpp/parser.h>

#include <algorithm>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include "version/text_check.h"

namespace marjoramsill {
namespace {

constexpr std::size_t kMaxQuotedBytes = 60;

std::string Quoted(std::string_view text) {
  return std::string(CutText(text, kMaxQuotedBytes));
}

// Thrown to stop the parser of yaml-cpp at the first event that is not allowed.
struct rejected_event {
  int line;
  std::string found;
  std::string allowed;
};

// Builds the tree from parser events, because the loader of yaml-cpp expands
// aliases and keeps only one of two equal keys.
class tree_handler : public YAML::EventHandler {
 public:
  yaml_node TakeRoot() { return std::move(root_); }

  void OnDocumentStart(const YAML::Mark&) override {}
  void OnDocumentEnd() override {}

  void OnNull(const YAML::Mark& mark, YAML::anchor_t anchor) override {
    Add(mark, "", anchor, yaml_node::kind::kNull, "");
  }
  void OnAlias(const YAML::Mark& mark, YAML::anchor_t) override {
    throw rejected_event{mark.line + 1, "an alias", "no aliases"};
  }
  void OnScalar(const YAML::Mark& mark, const std::string& tag,
                YAML::anchor_t anchor, const std::string& value) override {
    // yaml-cpp reports an unquoted ~ or null as a plain scalar.
    const bool null = tag == "?" && (value == "~" || value == "null");
    Add(mark, tag, anchor,
        null ? yaml_node::kind::kNull : yaml_node::kind::kScalar, value);
  }
  void OnSequenceStart(const YAML::Mark& mark, const std::string& tag,
                       YAML::anchor_t anchor,
                       YAML::EmitterStyle::value) override {
    Open(mark, tag, anchor, yaml_node::kind::kSequence);
  }
  void OnSequenceEnd() override { Close(); }
  void OnMapStart(const YAML::Mark& mark, const std::string& tag,
                  YAML::anchor_t anchor, YAML::EmitterStyle::value) override {
    Open(mark, tag, anchor, yaml_node::kind::kMap);
  }
  void OnMapEnd() override { Close(); }

 private:
  static yaml_node Make(const YAML::Mark& mark, const std::string& tag,
                        YAML::anchor_t anchor, yaml_node::kind type,
                        const std::string& text) {
    const int line = mark.line + 1;
    if (anchor != 0) throw rejected_event{line, "an anchor", "no anchors"};
    if (!tag.empty() && tag != "?" && tag != "!") {
      throw rejected_event{line, "tag " + Quoted(tag), "no tags"};
    }
    yaml_node node;
    node.type = type;
    node.line = line;
    node.quoted = tag == "!";
    node.text = text;
    return node;
  }

  bool ExpectsKey() const {
    return !open_.empty() && open_.back().type == yaml_node::kind::kMap &&
           open_.back().keys.size() == open_.back().items.size();
  }

  void Add(const YAML::Mark& mark, const std::string& tag,
           YAML::anchor_t anchor, yaml_node::kind type,
           const std::string& text) {
    yaml_node node = Make(mark, tag, anchor, type, text);
    if (ExpectsKey()) return AddKey(node);
    Attach(std::move(node));
  }

  void AddKey(const yaml_node& node) {
    if (node.type != yaml_node::kind::kScalar) {
      throw rejected_event{node.line, "an empty key", "a name as key"};
    }
    auto& keys = open_.back().keys;
    if (std::find(keys.begin(), keys.end(), node.text) != keys.end()) {
      throw rejected_event{node.line,
                           "key " + Quoted(node.text) + " a second time",
                           "each key once"};
    }
    keys.push_back(node.text);
  }

  void Open(const YAML::Mark& mark, const std::string& tag,
            YAML::anchor_t anchor, yaml_node::kind type) {
    yaml_node node = Make(mark, tag, anchor, type, "");
    if (ExpectsKey()) {
      throw rejected_event{node.line, "a list or map as key", "a name as key"};
    }
    if (open_.size() >= kMaximumYamlDepth) {
      throw rejected_event{
          node.line, "more than " + std::to_string(open_.size()) + " levels",
          "at most " + std::to_string(kMaximumYamlDepth) + " nested levels"};
    }
    open_.push_back(std::move(node));
  }

  void Close() {
    yaml_node node = std::move(open_.back());
    open_.pop_back();
    Attach(std::move(node));
  }

  void Attach(yaml_node node) {
    if (open_.empty()) {
      root_ = std::move(node);
    } else {
      open_.back().items.push_back(std::move(node));
    }
  }

  yaml_node root_;
  std::vector<yaml_node> open_;
};

std::optional<section_error> CheckBytes(const section_name& section,
                                        std::string_view bytes,
                                        std::size_t max_bytes) {
  if (bytes.size() > max_bytes) {
    return section_error{section, 0, "",
                         std::to_string(bytes.size()) + " bytes",
                         "at most " + std::to_string(max_bytes) + " bytes"};
  }
  if (const auto at = FirstInvalidByte(bytes)) {
    const auto line = 1 + std::count(bytes.begin(), bytes.begin() + *at, '\n');
    return section_error{
        section, static_cast<int>(line), "",
        "byte " + std::to_string(static_cast<unsigned char>(bytes[*at])),
        "UTF-8 text without control characters"};
  }
  return std::nullopt;
}

result<yaml_node, section_error> Parse(const section_name& section,
                                       std::string_view bytes) {
  try {
    std::istringstream input{std::string(bytes)};
    YAML::Parser parser(input);
    tree_handler handler;
    parser.HandleNextDocument(handler);
    yaml_node root = handler.TakeRoot();
    tree_handler ignored;
    if (parser.HandleNextDocument(ignored)) {
      return failure(
          section_error{section, 0, "", "a second document", "one document"});
    }
    return root;
  } catch (const rejected_event& event) {
    return failure(
        section_error{section, event.line, "", event.found, event.allowed});
  } catch (const YAML::Exception& e) {
    return failure(section_error{section, e.mark.line + 1, "", Quoted(e.msg),
                                 "valid YAML"});
  }
}

}  // namespace

std::string DescribeFound(const yaml_node& node) {
  switch (node.type) {
    case yaml_node::kind::kNull:
      return "nothing";
    case yaml_node::kind::kSequence:
      return "a list";
    case yaml_node::kind::kMap:
      return "a map";
    case yaml_node::kind::kScalar:
      break;
  }
  return '"' + Quoted(node.text) + '"';
}

result<yaml_node, section_error> ReadYaml(const section_name& section,
                                          std::string_view bytes,
                                          std::size_t max_bytes) {
  if (auto error = CheckBytes(section, bytes, max_bytes)) {
    return failure(*error);
  }
  auto root = Parse(section, bytes);
  if (root && root.value().type != yaml_node::kind::kMap) {
    return failure(section_error{section, root.value().line, "",
                                 DescribeFound(root.value()), "a map"});
  }
  return root;
}

}  // namespace marjoramsill
