#ifndef MARJORAMSILL_TYPES_RESULT_H_
#define MARJORAMSILL_TYPES_RESULT_H_

#include <boost/outcome/result.hpp>
#include <boost/outcome/success_failure.hpp>

namespace marjoramsill {

/// A value of type T or a typed failure E. Reading the wrong side is undefined
/// behaviour, so callers test it first.
template <class T, class E>
using result = BOOST_OUTCOME_V2_NAMESPACE::basic_result<
    T, E, BOOST_OUTCOME_V2_NAMESPACE::policy::all_narrow>;

using BOOST_OUTCOME_V2_NAMESPACE::failure;
using BOOST_OUTCOME_V2_NAMESPACE::success;

}  // namespace marjoramsill

#endif  // MARJORAMSILL_TYPES_RESULT_H_
