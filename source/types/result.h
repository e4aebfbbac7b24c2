#ifndef MARJORAMSILL_TYPES_RESULT_H_
#define MARJORAMSILL_TYPES_RESULT_H_

#include <boost/outcome/result.hpp>
#include <boost/outcome/success_failure.hpp>

namespace marjoramsill {

/// Either a value of type T or an error of type E. Accessing the alternative
/// that is not present is undefined behaviour, so test the result first.
template <class T, class E>
using result = BOOST_OUTCOME_V2_NAMESPACE::basic_result<
    T, E, BOOST_OUTCOME_V2_NAMESPACE::policy::all_narrow>;

using BOOST_OUTCOME_V2_NAMESPACE::failure;
using BOOST_OUTCOME_V2_NAMESPACE::success;

}  // namespace marjoramsill

#endif  // MARJORAMSILL_TYPES_RESULT_H_
