#ifndef MARJORAMSILL_TESTS_REQUEST_SCHEDULE_CHECK_H_
#define MARJORAMSILL_TESTS_REQUEST_SCHEDULE_CHECK_H_

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <cstddef>
#include <cstdint>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

namespace marjoramsill {

/// The random decisions of one generated run. RapidCheck shrinks them towards
/// zero.
using schedule = std::vector<std::uint16_t>;

/// Generator of schedules of `steps` decisions.
inline rc::Gen<schedule> ScheduleOf(std::size_t steps) {
  return rc::gen::container<schedule>(
      steps, rc::gen::inRange<std::uint16_t>(0, 0xffff));
}

/// Returns the decisions of a schedule one after the other, then zeros.
class schedule_reader {
 public:
  explicit schedule_reader(schedule steps) : steps_(std::move(steps)) {}

  bool ended() const { return next_ >= steps_.size(); }
  /// The next decision, as a number below `choices`.
  std::size_t Pick(std::size_t choices) {
    return ended() ? 0 : steps_[next_++] % choices;
  }

 private:
  schedule steps_;
  std::size_t next_ = 0;
};

/// Runs `property` on `count` generated inputs. On a failure the message names
/// the seed; RC_PARAMS="seed=N" repeats the run.
template <class Property>
void CheckProperty(const std::string& name, int count, Property&& property) {
  rc::detail::TestParams params = rc::detail::configuration().testParams;
  params.maxSuccess = count;
  rc::detail::TestMetadata metadata;
  metadata.id = name;
  metadata.description = name;
  const auto outcome = rc::detail::checkTestable(
      std::forward<Property>(property), metadata, params);
  std::ostringstream text;
  text << name << ", repeat with RC_PARAMS=\"seed=" << params.seed << "\"\n";
  rc::detail::printResultMessage(outcome, text);
  const bool passed = outcome.template is<rc::detail::SuccessResult>();
  CPPUNIT_ASSERT_MESSAGE(text.str(), passed);
}

}  // namespace marjoramsill

#endif  // MARJORAMSILL_TESTS_REQUEST_SCHEDULE_CHECK_H_
