#include "version/field_reader.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "version/text_check.h"

namespace marjoramsill {
namespace {

std::string Join(const std::vector<std::string>& words) {
  std::string text;
  for (const std::string& word : words) {
    if (!text.empty()) text += ", ";
    text += word;
  }
  return text;
}

// Accepts decimal numbers without sign or exponent. A quoted number is text.
std::optional<double> ParseNumber(const yaml_node& node) {
  if (node.type != yaml_node::kind::kScalar || node.quoted) return {};
  const std::string& text = node.text;
  if (text.find_first_not_of("0123456789.") != std::string::npos) return {};
  double value = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size()) return {};
  return value;
}

std::optional<std::uint64_t> ParseInteger(const yaml_node& node) {
  if (node.type != yaml_node::kind::kScalar || node.quoted) return {};
  const std::string& text = node.text;
  std::uint64_t value = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size()) return {};
  return value;
}

std::string ShortNumber(double value) {
  std::string text = std::to_string(value);
  text.erase(text.find_last_not_of('0') + 1);
  if (text.back() == '.') text.pop_back();
  return text;
}

}  // namespace

void parse_report::Fail(int line, std::string field, std::string found,
                        std::string allowed) {
  if (error_) return;
  error_ = section_error{section_, line, std::move(field), std::move(found),
                         std::move(allowed)};
}

field_reader::field_reader(const yaml_node& map, std::string path,
                           parse_report& report)
    : map_(map), path_(std::move(path)), report_(report) {}

std::string field_reader::PathOf(const std::string& key) const {
  return path_.empty() ? key : path_ + "." + key;
}

const yaml_node* field_reader::Find(const std::string& key, bool required,
                                    const std::string& allowed) {
  known_.push_back(key);
  const auto it = std::find(map_.keys.begin(), map_.keys.end(), key);
  if (it != map_.keys.end()) return &map_.items[it - map_.keys.begin()];
  if (required) report_.Fail(map_.line, PathOf(key), "nothing", allowed);
  return nullptr;
}

const yaml_node* field_reader::FindTyped(const std::string& key, bool required,
                                         yaml_node::kind type,
                                         const std::string& allowed) {
  const yaml_node* node = Find(key, required, allowed);
  if (node == nullptr || node->type == type) return node;
  report_.Fail(node->line, PathOf(key), DescribeFound(*node), allowed);
  return nullptr;
}

const yaml_node* field_reader::Map(const std::string& key, bool required) {
  return FindTyped(key, required, yaml_node::kind::kMap, "a map");
}

const yaml_node* field_reader::Sequence(const std::string& key, bool required) {
  return FindTyped(key, required, yaml_node::kind::kSequence, "a list");
}

std::uint64_t field_reader::Integer(const std::string& key, std::uint64_t low,
                                    std::uint64_t high,
                                    std::optional<std::uint64_t> fallback) {
  const std::string allowed =
      "an integer from " + std::to_string(low) + " to " + std::to_string(high);
  const yaml_node* node = Find(key, !fallback.has_value(), allowed);
  if (node == nullptr) return fallback.value_or(low);
  const auto value = ParseInteger(*node);
  if (value && *value >= low && *value <= high) return *value;
  report_.Fail(node->line, PathOf(key), DescribeFound(*node), allowed);
  return low;
}

double field_reader::Number(const std::string& key, double low, double high,
                            std::optional<double> fallback) {
  const std::string allowed =
      "a number from " + ShortNumber(low) + " to " + ShortNumber(high);
  const yaml_node* node = Find(key, !fallback.has_value(), allowed);
  if (node == nullptr) return fallback.value_or(low);
  const auto value = ParseNumber(*node);
  if (value && *value >= low && *value <= high) return *value;
  report_.Fail(node->line, PathOf(key), DescribeFound(*node), allowed);
  return low;
}

std::string field_reader::CheckedText(const yaml_node& node,
                                      const std::string& field,
                                      const text_rule& rule) {
  if (node.type == yaml_node::kind::kScalar && rule.accepts(node.text)) {
    return node.text;
  }
  report_.Fail(node.line, field, DescribeFound(node), rule.allowed);
  return {};
}

std::string field_reader::Text(const std::string& key, const text_rule& rule,
                               std::optional<std::string> fallback) {
  const yaml_node* node = Find(key, !fallback.has_value(), rule.allowed);
  if (node == nullptr) return fallback.value_or("");
  return CheckedText(*node, PathOf(key), rule);
}

bool field_reader::Boolean(const std::string& key, bool fallback) {
  const yaml_node* node = Find(key, false, "");
  if (node == nullptr) return fallback;
  const bool plain = node->type == yaml_node::kind::kScalar && !node->quoted;
  if (plain && node->text == "true") return true;
  if (plain && node->text == "false") return false;
  report_.Fail(node->line, PathOf(key), DescribeFound(*node), "true or false");
  return fallback;
}

std::vector<std::string> field_reader::Texts(const std::string& key,
                                             const text_rule& rule,
                                             bool required) {
  std::vector<std::string> texts;
  const yaml_node* list = Sequence(key, required);
  if (list == nullptr) return texts;
  for (const yaml_node& item : list->items) {
    texts.push_back(CheckedText(item, PathOf(key), rule));
    if (std::count(texts.begin(), texts.end(), texts.back()) > 1) {
      report_.Fail(item.line, PathOf(key), DescribeFound(item) + " twice",
                   "each value once");
    }
  }
  return texts;
}

void field_reader::Finish() {
  for (std::size_t i = 0; i < map_.keys.size(); ++i) {
    const std::string& key = map_.keys[i];
    if (std::find(known_.begin(), known_.end(), key) != known_.end()) continue;
    report_.Fail(map_.items[i].line, PathOf(std::string(CutText(key, 60))),
                 "an unknown key", Join(known_));
  }
}

}  // namespace marjoramsill
