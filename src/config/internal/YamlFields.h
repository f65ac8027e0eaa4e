#pragma once

#include "config/internal/FieldCheck.h"

#include <charconv>
#include <set>
#include <variant>
#include <vector>
#include <yaml-cpp/yaml.h>

namespace crocuslead::config::internal {

template <typename Record> struct TextMember {
  std::string Record::*Member_;
  const TextRule *Rule_;
};

template <typename Record, typename Number> struct NumberMember {
  Number Record::*Member_;
  Limits<Number> Range_;
};

//! One row of a settings table: the YAML name and the member that it fills.
template <typename Record> struct YamlField {
  const char *Name_;
  std::variant<TextMember<Record>, NumberMember<Record, int64_t>,
               NumberMember<Record, int>, NumberMember<Record, double>>
      Target_;
  bool Required_ = false;
};

inline int lineOf(const YAML::Node &Node) { return Node.Mark().line + 1; }

inline std::string foundText(const YAML::Node &Node) {
  switch (Node.Type()) {
  case YAML::NodeType::Scalar:
    return excerpt(Node.Scalar());
  case YAML::NodeType::Sequence:
    return "a list";
  case YAML::NodeType::Map:
    return "a map";
  default:
    return "";
  }
}

//! Reads one value into its member.
template <typename Record> struct YamlReader {
  const YAML::Node &Node_;
  const char *Name_;
  Record &Out_;

  std::optional<FieldProblem>
  operator()(const TextMember<Record> &Target) const {
    if (!Node_.IsScalar()) {
      // The content of a mistyped secret stays out of the error as well.
      std::string Found = foundText(Node_);
      return FieldProblem{Name_, Found, Target.Rule_->Allowed_, lineOf(Node_)};
    }
    auto Problem = checkText(Name_, Node_.Scalar(), *Target.Rule_);
    if (Problem)
      Problem->Line_ = lineOf(Node_);
    else
      Out_.*Target.Member_ = Node_.Scalar();
    return Problem;
  }

  template <typename Number>
  std::optional<FieldProblem>
  operator()(const NumberMember<Record, Number> &Target) const {
    Number Value{};
    if (parse(Value) && Value >= Target.Range_.Min_ &&
        Value <= Target.Range_.Max_) {
      Out_.*Target.Member_ = Value;
      return std::nullopt;
    }
    using Wide =
        std::conditional_t<std::is_integral_v<Number>, int64_t, double>;
    std::string Allowed =
        limitsText(Limits<Wide>{Target.Range_.Min_, Target.Range_.Max_});
    return FieldProblem{Name_, foundText(Node_), Allowed, lineOf(Node_)};
  }

private:
  template <typename Number> bool parse(Number &Value) const {
    // A quoted scalar has the tag "!" and is text.
    if (!Node_.IsScalar() || Node_.Tag() == "!")
      return false;
    const std::string &Text = Node_.Scalar();
    const char *End = Text.data() + Text.size();
    auto [Stop, Status] = std::from_chars(Text.data(), End, Value);
    return Status == std::errc() && Stop == End;
  }
};

//! Fills Out from Map. Extra lists further allowed names, which the caller
//! reads.
template <typename Record>
std::optional<FieldProblem>
readMap(const YAML::Node &Map, const std::vector<YamlField<Record>> &Table,
        const std::set<std::string> &Extra, Record &Out) {
  std::set<std::string> Seen;
  for (const auto &Pair : Map) {
    if (!Pair.first.IsScalar())
      return FieldProblem{"(key)", foundText(Pair.first), "a field name",
                          lineOf(Pair.first)};
    const std::string &Name = Pair.first.Scalar();
    if (!Seen.insert(Name).second)
      return FieldProblem{excerpt(Name), "a second value", "one value",
                          lineOf(Pair.first)};
    if (Extra.count(Name) > 0)
      continue;
    const YamlField<Record> *Row = nullptr;
    for (const YamlField<Record> &Candidate : Table)
      if (Name == Candidate.Name_)
        Row = &Candidate;
    if (!Row) {
      std::string Allowed;
      for (const YamlField<Record> &Known : Table)
        Allowed += std::string(Allowed.empty() ? "" : ", ") + Known.Name_;
      for (const std::string &Known : Extra)
        Allowed += ", " + Known;
      return FieldProblem{excerpt(Name), "an unknown field", Allowed,
                          lineOf(Pair.first)};
    }
    auto Problem = std::visit(YamlReader<Record>{Pair.second, Row->Name_, Out},
                              Row->Target_);
    // The mark of an absent value is that of the token after it.
    if (Problem && Pair.second.IsNull())
      Problem->Line_ = lineOf(Pair.first);
    if (Problem)
      return Problem;
  }
  for (const YamlField<Record> &Row : Table)
    if (Row.Required_ && Seen.count(Row.Name_) == 0)
      return FieldProblem{Row.Name_, "", "a value (the field is required)",
                          lineOf(Map)};
  return std::nullopt;
}

} // namespace crocuslead::config::internal
