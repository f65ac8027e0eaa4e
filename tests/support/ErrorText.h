#pragma once

#include "base/Error.h"

#include <boost/leaf/handle_errors.hpp>
#include <string>

namespace crocuslead::tests {

//! Message of the failure that Run returns, or "accepted".
template <typename Function> std::string errorText(Function Run) {
  return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<std::string> {
        BOOST_LEAF_CHECK(Run());
        return std::string("accepted");
      },
      [](const base::Error &Failure) { return Failure.Message_; },
      [] { return std::string("a failure without a message"); });
}

} // namespace crocuslead::tests
