#pragma once

#include <string_view>

namespace crocuslead::link::internal {

//! True when Frame is exactly one CBOR item of the kinds that messages use
//! (integers, byte strings, text, arrays, maps, booleans; definite lengths
//! only) with arrays and maps nested at most MaxDepth deep.
//! The CBOR reader of nlohmann-json recurses for each level, so that a frame of
//! nested arrays would exhaust the stack; frames are checked here first.
bool isPlainCbor(std::string_view Frame, int MaxDepth);

} // namespace crocuslead::link::internal
