#include "config/ConfigState.h"
#include "config/Validate.h"

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>

using namespace crocuslead::config;

extern "C" int LLVMFuzzerTestOneInput(const uint8_t *Data, std::size_t Size) {
  std::string Json(reinterpret_cast<const char *>(Data), Size);
  if (auto Parsed = parseTemplate(Json))
    if (!parseTemplate(writeTemplate(*Parsed)))
      std::abort();
  if (auto Parsed = parseWorkspace(Json))
    if (!parseWorkspace(writeWorkspace(*Parsed)))
      std::abort();
  if (auto Parsed = parseDomains(Json))
    if (!parseDomains(writeDomains(*Parsed)))
      std::abort();
  ConfigState State;
  State.applyPeer({{DomainsKey, Json, 1, false},
                   {std::string(TemplatePrefix) + "a", Json, 2, false}});
  (void)validatePut(State, DomainsKey, Json);
  return 0;
}
