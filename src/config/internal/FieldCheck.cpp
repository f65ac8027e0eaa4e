#include "config/internal/FieldCheck.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <charconv>
#include <cstdio>

namespace crocuslead::config::internal {

namespace {

constexpr std::size_t MaxNameLength = 63;
constexpr std::size_t MinSharedKeyLength = 16;
constexpr std::size_t MinTokenLength = 8;
constexpr std::size_t MaxSecretLength = 4096;
constexpr std::size_t MaxExcerptLength = 80;

bool isPort(std::string_view Text) {
  int Port = 0;
  auto [End, Status] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Port);
  return Status == std::errc() && End == Text.data() + Text.size() &&
         Port >= 1 && Port <= 65535;
}

bool isIp(int Family, std::string_view Text) {
  std::array<unsigned char, sizeof(in6_addr)> Ignored{};
  return inet_pton(Family, std::string(Text).c_str(), Ignored.data()) == 1;
}

std::string numberText(double Value) {
  char Buffer[32];
  std::snprintf(Buffer, sizeof(Buffer), "%.10g", Value);
  return Buffer;
}

} // namespace

std::string describe(const FieldProblem &Problem) {
  std::string Found =
      Problem.Found_.empty() ? "nothing" : "'" + Problem.Found_ + "'";
  return "field '" + Problem.Field_ + "': found " + Found +
         ", allowed: " + Problem.Allowed_;
}

bool isName(std::string_view Text) {
  auto Allowed = [](char C) {
    return (C >= 'a' && C <= 'z') || (C >= '0' && C <= '9') || C == '-';
  };
  return !Text.empty() && Text.size() <= MaxNameLength &&
         std::all_of(Text.begin(), Text.end(), Allowed);
}

bool isNameOrEmpty(std::string_view Text) {
  return Text.empty() || isName(Text);
}

bool isAddress(std::string_view Text) {
  std::size_t Colon = Text.rfind(':');
  // An embedded zero byte would hide the rest of the text from inet_pton.
  if (Colon == std::string_view::npos ||
      Text.find('\0') != std::string_view::npos)
    return false;
  std::string_view Host = Text.substr(0, Colon);
  if (!isPort(Text.substr(Colon + 1)))
    return false;
  if (Host.size() > 2 && Host.front() == '[' && Host.back() == ']')
    return isIp(AF_INET6, Host.substr(1, Host.size() - 2));
  return isIp(AF_INET, Host);
}

bool isBaseUrl(std::string_view Text) {
  constexpr std::string_view Scheme = "http://";
  return Text.substr(0, Scheme.size()) == Scheme &&
         isAddress(Text.substr(Scheme.size()));
}

bool isLogLevel(std::string_view Text) {
  return Text == "debug" || Text == "info" || Text == "warn" || Text == "error";
}

bool isSharedKey(std::string_view Text) {
  return Text.size() >= MinSharedKeyLength && Text.size() <= MaxSecretLength;
}

bool isOperatorToken(std::string_view Text) {
  auto Visible = [](char C) { return C > ' ' && C <= '~'; };
  return Text.size() >= MinTokenLength && Text.size() <= MaxSecretLength &&
         std::all_of(Text.begin(), Text.end(), Visible);
}

std::optional<FieldProblem> checkText(std::string_view Field,
                                      std::string_view Found,
                                      const TextRule &Rule) {
  if (Rule.Check_(Found))
    return std::nullopt;
  std::string Shown = Rule.Secret_
                          ? std::to_string(Found.size()) + " characters"
                          : excerpt(Found);
  return FieldProblem{std::string(Field), Shown, Rule.Allowed_};
}

std::string limitsText(const Limits<int64_t> &Range) {
  return std::to_string(Range.Min_) + " to " + std::to_string(Range.Max_);
}

std::string limitsText(const Limits<double> &Range) {
  return numberText(Range.Min_) + " to " + numberText(Range.Max_);
}

std::string excerpt(std::string_view Text) {
  std::string Out(Text.substr(0, MaxExcerptLength));
  auto Control = [](char C) {
    return static_cast<unsigned char>(C) < 0x20 || C == 0x7F;
  };
  std::replace_if(Out.begin(), Out.end(), Control, '?');
  return Text.size() > MaxExcerptLength ? Out + "..." : Out;
}

} // namespace crocuslead::config::internal
