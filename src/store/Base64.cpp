#include "store/Base64.h"

#include <algorithm>
#include <openssl/evp.h>

namespace crocuslead::store {

namespace {

bool isAlphabet(char C) {
  return (C >= 'A' && C <= 'Z') || (C >= 'a' && C <= 'z') ||
         (C >= '0' && C <= '9') || C == '+' || C == '/';
}

const unsigned char *bytes(std::string_view Text) {
  return reinterpret_cast<const unsigned char *>(Text.data());
}

} // namespace

std::string encodeBase64(std::string_view Bytes) {
  // OpenSSL writes a terminating zero after the text.
  std::string Text((Bytes.size() + 2) / 3 * 4 + 1, '\0');
  int Size = EVP_EncodeBlock(reinterpret_cast<unsigned char *>(Text.data()),
                             bytes(Bytes), static_cast<int>(Bytes.size()));
  Text.resize(static_cast<std::size_t>(Size));
  return Text;
}

// EVP_DecodeBlock trims blanks and counts the padding as bytes, so both are
// checked here.
std::optional<std::string> decodeBase64(std::string_view Text) {
  if (Text.empty())
    return std::string();
  if (Text.size() % 4 != 0)
    return std::nullopt;
  std::size_t Padding =
      Text.back() != '=' ? 0 : (Text[Text.size() - 2] != '=' ? 1 : 2);
  std::string_view Content = Text.substr(0, Text.size() - Padding);
  if (!std::all_of(Content.begin(), Content.end(), isAlphabet))
    return std::nullopt;
  std::string Out(Text.size() / 4 * 3, '\0');
  int Size = EVP_DecodeBlock(reinterpret_cast<unsigned char *>(Out.data()),
                             bytes(Text), static_cast<int>(Text.size()));
  if (Size < 0)
    return std::nullopt;
  Out.resize(static_cast<std::size_t>(Size) - Padding);
  return Out;
}

} // namespace crocuslead::store
