#include "fake_endpoint/fake_model.h"
#include "fake_endpoint/fake_prefix_cache.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "commands/fake_text.h"

namespace marjoramsill {
namespace {

constexpr std::uint32_t kDefaultWords = 16;

std::uint32_t CountWords(const std::string& text) {
  std::uint32_t words = 0;
  bool in_word = false;
  for (const char c : text) {
    const bool space = c == ' ' || c == '\n';
    if (!space && !in_word) ++words;
    in_word = !space;
  }
  return words;
}

}  // namespace

fake_completion PlanCompletion(const nlohmann::json& request) {
  nlohmann::json messages = request.value("messages", nlohmann::json::array());
  fake_completion plan;
  const std::uint32_t max_words = request.value("max_tokens", kDefaultWords);
  if (request.value("continue_final_message", false) && !messages.empty()) {
    plan.first_word = CountWords(messages.back().value("content", ""));
    messages.erase(messages.size() - 1);
  }
  plan.prompt_hash = FakePromptHash(messages);
  for (const auto& message : messages) {
    plan.prompt_words += CountWords(message.value("content", ""));
  }
  plan.words = max_words > plan.first_word ? max_words - plan.first_word : 0;
  return plan;
}

std::uint32_t fake_prefix_cache::Use(const std::string& chat,
                                     std::uint32_t prompt_words) {
  std::uint32_t cached = 0;
  const auto found = entries_.find(chat);
  if (found != entries_.end()) {
    cached = std::min(found->second->words, prompt_words);
    order_.erase(found->second);
    entries_.erase(found);
  }
  order_.push_front({chat, prompt_words});
  entries_[chat] = order_.begin();
  if (order_.size() > capacity_) {
    entries_.erase(order_.back().chat);
    order_.pop_back();
  }
  return cached;
}

}  // namespace marjoramsill
