#include "config/Settings.h"

#include <cstddef>
#include <cstdint>
#include <string>

extern "C" int LLVMFuzzerTestOneInput(const uint8_t *Data, std::size_t Size) {
  std::string Text(reinterpret_cast<const char *>(Data), Size);
  // Secret files are named by the input; a folder that does not exist keeps the
  // run independent of the machine's files.
  (void)crocuslead::config::parseSettings(Text, "no-such-folder/fuzz.yaml");
  return 0;
}
