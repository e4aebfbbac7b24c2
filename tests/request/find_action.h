#ifndef MARJORAMSILL_TESTS_REQUEST_FIND_ACTION_H_
#define MARJORAMSILL_TESTS_REQUEST_FIND_ACTION_H_

#include <cppunit/extensions/HelperMacros.h>

#include <variant>

#include "request/call_action.h"

namespace marjoramsill {

/// First action of this type; null if there is none.
template <class Action>
const Action* Find(const call_actions& actions) {
  for (const call_action& action : actions) {
    if (const auto* found = std::get_if<Action>(&action)) return found;
  }
  return nullptr;
}

/// First action of this type; fails the test if there is none.
template <class Action>
Action Get(const call_actions& actions) {
  const Action* found = Find<Action>(actions);
  CPPUNIT_ASSERT(found != nullptr);
  return *found;
}

}  // namespace marjoramsill

#endif  // MARJORAMSILL_TESTS_REQUEST_FIND_ACTION_H_
