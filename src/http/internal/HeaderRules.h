#pragma once

#include "http/Server.h"

#include <string_view>

namespace crocuslead::http::internal {

bool equalsIgnoringCase(std::string_view A, std::string_view B);

//! True for headers that describe one connection or the framing of one
//! message; both sides of an exchange set these themselves.
bool isFramingHeader(std::string_view Name);

//! False for a name or value that would break the message apart, such as a
//! value with a line end.
bool isValidHeader(std::string_view Name, std::string_view Value);

} // namespace crocuslead::http::internal
