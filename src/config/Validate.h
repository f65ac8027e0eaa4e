#pragma once

#include "base/Error.h"
#include "config/ConfigState.h"

#include <string>

namespace crocuslead::config {

//! Checks a value that an operator wants to write against the whole
//! configuration: it parses, its name is the key's, its template exists, the
//! agreed shares add up to at most 1, and no failure domain disappears. An
//! error says what is wrong and what is allowed.
base::Result<void> validatePut(const ConfigState &Current,
                               const std::string &Key,
                               const std::string &Value);

//! Checks that nothing else refers to the key that an operator wants to delete.
base::Result<void> validateDelete(const ConfigState &Current,
                                  const std::string &Key);

} // namespace crocuslead::config
