#pragma once

#include "cluster/internal/Cbor.h"

#include <limits>
#include <string>
#include <type_traits>
#include <vector>

namespace crocuslead::cluster::internal {

//! Codec of one field of a message of type T.
template <typename T> struct Field {
  uint64_t Number_;
  bool (*IsDefault_)(const T &Message, const T &Default);
  void (*Write_)(CborWriter &Out, const T &Message);
  bool (*Read_)(CborReader &In, T &Message);
};

//! The message types specialise this with `static constexpr Field<T> Fields[]`
//! and `static bool isValid(const T &)`.
template <typename T> struct Message;

//! The enums of messages specialise this with their name table.
template <typename T> struct EnumNames;

template <typename T> void writeMessage(CborWriter &Out, const T &Value) {
  static const T Default{};
  CborWriter Body;
  uint64_t Count = 0;
  for (const Field<T> &One : Message<T>::Fields) {
    if (One.IsDefault_(Value, Default))
      continue;
    Body.head(CborType::Unsigned, One.Number_);
    One.Write_(Body, Value);
    ++Count;
  }
  Out.head(CborType::Map, Count);
  Out.append(Body.take());
}

template <typename T> bool readField(CborReader &In, uint64_t Number, T &Into) {
  for (const Field<T> &One : Message<T>::Fields)
    if (One.Number_ == Number)
      return One.Read_(In, Into);
  return In.skip();
}

template <typename T> bool readMessage(CborReader &In, T &Into) {
  uint64_t Count = 0;
  if (!In.container(CborType::Map, Count))
    return false;
  Into = T{};
  for (; Count > 0; --Count) {
    CborType KeyType{};
    uint64_t Number = 0;
    if (!In.head(KeyType, Number) || KeyType != CborType::Unsigned ||
        !readField(In, Number, Into))
      return false;
  }
  return Message<T>::isValid(Into);
}

template <typename T> struct IsVector : std::false_type {};
template <typename T> struct IsVector<std::vector<T>> : std::true_type {};

template <typename T> void writeValue(CborWriter &Out, const T &Value) {
  if constexpr (std::is_same_v<T, bool>) {
    Out.boolean(Value);
  } else if constexpr (std::is_enum_v<T> || std::is_integral_v<T>) {
    Out.integer(static_cast<int64_t>(Value));
  } else if constexpr (std::is_same_v<T, std::string>) {
    Out.text(Value);
  } else if constexpr (IsVector<T>::value) {
    Out.head(CborType::Array, Value.size());
    for (const auto &One : Value)
      writeMessage(Out, One);
  } else {
    writeMessage(Out, Value);
  }
}

template <typename T> bool readInteger(CborReader &In, T &Into) {
  int64_t Value = 0;
  if (!In.integer(Value) || Value < std::numeric_limits<T>::min() ||
      Value > static_cast<int64_t>(std::numeric_limits<T>::max()))
    return false;
  Into = static_cast<T>(Value);
  return true;
}

template <typename T> bool readEnum(CborReader &In, T &Into) {
  int64_t Value = 0;
  if (!In.integer(Value))
    return false;
  for (const auto &[Known, Name] : EnumNames<T>::Table.rows())
    if (static_cast<int64_t>(Known) == Value) {
      Into = Known;
      return true;
    }
  return false;
}

template <typename T> bool readVector(CborReader &In, std::vector<T> &Into) {
  uint64_t Count = 0;
  if (!In.container(CborType::Array, Count))
    return false;
  Into.clear();
  for (; Count > 0; --Count)
    if (!readMessage(In, Into.emplace_back()))
      return false;
  return true;
}

template <typename T> bool readValue(CborReader &In, T &Into) {
  if constexpr (std::is_same_v<T, bool>)
    return In.boolean(Into);
  else if constexpr (std::is_enum_v<T>)
    return readEnum(In, Into);
  else if constexpr (std::is_integral_v<T>)
    return readInteger(In, Into);
  else if constexpr (std::is_same_v<T, std::string>)
    return In.text(Into);
  else if constexpr (IsVector<T>::value)
    return readVector(In, Into);
  else
    return readMessage(In, Into);
}

template <typename T> bool isSame(const T &A, const T &B) {
  if constexpr (IsVector<T>::value)
    return A.empty() && B.empty();
  else
    return A == B;
}

template <typename T> struct MemberOwner;
template <typename Owner, typename Value> struct MemberOwner<Value Owner::*> {
  using Type = Owner;
};

//! Row for one data member.
template <auto Member> constexpr auto field(uint64_t Number) {
  using T = typename MemberOwner<decltype(Member)>::Type;
  return Field<T>{
      Number,
      [](const T &A, const T &B) { return isSame(A.*Member, B.*Member); },
      [](CborWriter &Out, const T &From) { writeValue(Out, From.*Member); },
      [](CborReader &In, T &Into) { return readValue(In, Into.*Member); }};
}

} // namespace crocuslead::cluster::internal
