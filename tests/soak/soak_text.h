#ifndef MARJORAMSILL_TESTS_SOAK_SOAK_TEXT_H_
#define MARJORAMSILL_TESTS_SOAK_SOAK_TEXT_H_

#include <string>

namespace marjoramsill::soak {

/// Number of events in a complete stream.
inline constexpr int kStreamEvents = 12;

inline std::string PlainBody(const std::string& request) {
  return "answer to " + request + "\n";
}

/// Event `number` of the stream of a request, counted from 1.
inline std::string EventText(const std::string& request, int number) {
  return "id: " + std::to_string(number) + "\ndata: " + request + " " +
         std::to_string(number) + "\n\n";
}

inline std::string StreamBody(const std::string& request) {
  std::string body;
  for (int i = 1; i <= kStreamEvents; ++i) body += EventText(request, i);
  return body;
}

}  // namespace marjoramsill::soak

#endif  // MARJORAMSILL_TESTS_SOAK_SOAK_TEXT_H_
