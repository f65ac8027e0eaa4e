#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace crocuslead::store {

std::string encodeBase64(std::string_view Bytes);
//! Nothing for text that is not padded base64.
std::optional<std::string> decodeBase64(std::string_view Text);

} // namespace crocuslead::store
