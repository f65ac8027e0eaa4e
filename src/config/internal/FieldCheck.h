#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace crocuslead::config::internal {

//! What is wrong with one field. Found_ never holds a secret.
struct FieldProblem {
  std::string Field_;
  std::string Found_;
  std::string Allowed_;
  //! Line of the settings file, from 1; 0 where lines do not apply.
  int Line_ = 0;
};

//! "field 'x': found 'y', allowed: 1 to 300".
std::string describe(const FieldProblem &Problem);

//! Rule of a text field.
struct TextRule {
  bool (*Check_)(std::string_view);
  const char *Allowed_;
  //! A secret's value is replaced by its length in errors.
  bool Secret_ = false;
};

template <typename Number> struct Limits {
  Number Min_;
  Number Max_;
};

bool isName(std::string_view Text);
bool isNameOrEmpty(std::string_view Text);
//! IP:port with a numeric IPv4 address, or [IP]:port with an IPv6 address.
bool isAddress(std::string_view Text);
//! http://IP:port without a path.
bool isBaseUrl(std::string_view Text);
bool isLogLevel(std::string_view Text);
bool isSharedKey(std::string_view Text);
bool isOperatorToken(std::string_view Text);

inline constexpr TextRule NameRule{isName, "1 to 63 of a-z, 0-9 and -"};
inline constexpr TextRule NameOrEmptyRule{
    isNameOrEmpty, "nothing, or 1 to 63 of a-z, 0-9 and -"};
inline constexpr TextRule AddressRule{isAddress,
                                      "IP:port with a port of 1 to 65535"};
inline constexpr TextRule UrlRule{isBaseUrl, "http://IP:port without a path"};
inline constexpr TextRule LogLevelRule{isLogLevel, "debug, info, warn, error"};
inline constexpr TextRule SharedKeyRule{isSharedKey,
                                        "text of 16 to 4096 characters", true};
inline constexpr TextRule OperatorTokenRule{
    isOperatorToken, "8 to 4096 visible ASCII characters", true};

std::optional<FieldProblem>
checkText(std::string_view Field, std::string_view Found, const TextRule &Rule);

std::string limitsText(const Limits<int64_t> &Range);
std::string limitsText(const Limits<double> &Range);

//! Shortens text from outside for an error message.
std::string excerpt(std::string_view Text);

} // namespace crocuslead::config::internal
