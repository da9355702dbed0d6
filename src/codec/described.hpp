#pragma once

/// Conversion between described structs and JSON values. Field names drop
/// the member prefix and are written in snake case: mLookupTtl becomes
/// lookup_ttl. A field may be left out of the input where its default value
/// is not empty or zero, or where it is optional or a list.

#include <guavaline/core/error.hpp>
#include <guavaline/core/units.hpp>

#include <boost/describe.hpp>
#include <boost/json.hpp>
#include <boost/mp11.hpp>

#include <concepts>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <type_traits>
#include <vector>

namespace guavaline::detail {

namespace json = boost::json;

/// Turns a member name into a field name: "mLookupTtl" to "lookup_ttl".
[[nodiscard]] std::string FieldName(std::string_view aMember);

/// Turns an enumerator into its written form: "FailureDomain" to
/// "failure_domain".
[[nodiscard]] std::string EnumeratorName(std::string_view aEnumerator);

/// Collects problems with the path at which each was found.
class Reader
{
public:
  /// Notes a problem at the present path.
  void Fail(std::string aFound, std::string aAllowed);
  /// @returns a short text of a value for messages
  [[nodiscard]] static std::string Show(const json::value& aValue);

  [[nodiscard]] const std::string& Path() const { return mPath; }
  [[nodiscard]] Problems& Found() { return mProblems; }

  /// Runs a function with the path lengthened by a part.
  template<class F>
  void Within(const std::string& aPart, F&& aBody)
  {
    const auto size = mPath.size();
    if (!mPath.empty() && aPart.front() != '[') {
      mPath += '.';
    }
    mPath += aPart;
    aBody();
    mPath.resize(size);
  }

private:
  std::string mPath;
  Problems mProblems;
};

template<class T>
concept DescribedStruct = boost::describe::has_describe_members<T>::value;
template<class T>
concept DescribedEnum = boost::describe::has_describe_enumerators<T>::value;

template<class T>
using MembersOf =
  boost::describe::describe_members<T, boost::describe::mod_public>;

template<class T>
struct IsVector : std::false_type
{
};
template<class T>
struct IsVector<std::vector<T>> : std::true_type
{
};
template<class T>
struct IsOptional : std::false_type
{
};
template<class T>
struct IsOptional<std::optional<T>> : std::true_type
{
};
template<class T>
struct IsMap : std::false_type
{
};
template<class T>
struct IsMap<std::map<std::string, T>> : std::true_type
{
};

void ReadScalar(const json::value& aValue, std::string& aOut, Reader& aReader);
void ReadScalar(const json::value& aValue, bool& aOut, Reader& aReader);
void ReadScalar(const json::value& aValue, double& aOut, Reader& aReader);
void ReadScalar(const json::value& aValue, Millis& aOut, Reader& aReader);
void ReadScalar(const json::value& aValue, BitRate& aOut, Reader& aReader);
void ReadScalar(const json::value& aValue, WallTime& aOut, Reader& aReader);
/// @returns the number where the value is a whole number within the range
[[nodiscard]] std::optional<std::int64_t> ReadInteger(const json::value& aValue,
                                                      std::int64_t aLeast,
                                                      std::int64_t aMost,
                                                      Reader& aReader);

[[nodiscard]] json::value WriteScalar(const std::string& aValue);
[[nodiscard]] json::value WriteScalar(bool aValue);
[[nodiscard]] json::value WriteScalar(double aValue);
[[nodiscard]] json::value WriteScalar(Millis aValue);
[[nodiscard]] json::value WriteScalar(BitRate aValue);
[[nodiscard]] json::value WriteScalar(WallTime aValue);

/// Reads a value into a typed object; problems go to the reader.
template<class T>
void Read(const json::value& aValue, T& aOut, Reader& aReader);

template<class T>
void ReadStruct(const json::value& aValue, T& aOut, Reader& aReader)
{
  if (!aValue.is_object()) {
    aReader.Fail(Reader::Show(aValue), "a group of fields");
    return;
  }
  const auto& object = aValue.get_object();
  std::set<std::string> known;
  boost::mp11::mp_for_each<MembersOf<T>>([&](auto aMember) {
    using Member = std::remove_cvref_t<decltype(aOut.*aMember.pointer)>;
    const auto name = FieldName(aMember.name);
    known.insert(name);
    const auto* it = object.if_contains(name);
    if (it != nullptr && !it->is_null()) {
      aReader.Within(name, [&] { Read(*it, aOut.*aMember.pointer, aReader); });
      return;
    }
    if constexpr (!IsVector<Member>::value && !IsOptional<Member>::value &&
                  !IsMap<Member>::value && !DescribedStruct<Member>) {
      if (T{}.*aMember.pointer == Member{} && !std::is_same_v<Member, bool>) {
        aReader.Within(name, [&] { aReader.Fail("nothing", "a value"); });
      }
    }
  });
  for (const auto& [key, value] : object) {
    if (known.count(std::string(key)) == 0) {
      std::string allowed = "one of";
      for (const auto& it : known) {
        allowed += " " + it;
      }
      aReader.Within(std::string(key),
                     [&] { aReader.Fail("an unknown key", allowed); });
    }
  }
}

template<class T>
void ReadEnum(const json::value& aValue, T& aOut, Reader& aReader)
{
  std::string text;
  ReadScalar(aValue, text, aReader);
  bool found = false;
  std::string allowed = "one of";
  boost::mp11::mp_for_each<boost::describe::describe_enumerators<T>>(
    [&](auto aItem) {
      const auto name = EnumeratorName(aItem.name);
      allowed += " " + name;
      if (name == text) {
        aOut = aItem.value;
        found = true;
      }
    });
  if (!found) {
    aReader.Fail(Reader::Show(aValue), allowed);
  }
}

template<class T>
void Read(const json::value& aValue, T& aOut, Reader& aReader)
{
  if constexpr (IsVector<T>::value) {
    if (!aValue.is_array()) {
      aReader.Fail(Reader::Show(aValue), "a list");
      return;
    }
    aOut.clear();
    std::size_t n = 0;
    for (const auto& it : aValue.get_array()) {
      aReader.Within("[" + std::to_string(n++) + "]",
                     [&] { Read(it, aOut.emplace_back(), aReader); });
    }
  } else if constexpr (IsMap<T>::value) {
    if (!aValue.is_object()) {
      aReader.Fail(Reader::Show(aValue), "a group of fields");
      return;
    }
    aOut.clear();
    for (const auto& it : aValue.get_object()) {
      const std::string name(it.key());
      aReader.Within(name, [&] { Read(it.value(), aOut[name], aReader); });
    }
  } else if constexpr (IsOptional<T>::value) {
    Read(aValue, aOut.emplace(), aReader);
  } else if constexpr (DescribedEnum<T>) {
    ReadEnum(aValue, aOut, aReader);
  } else if constexpr (std::integral<T> && !std::same_as<T, bool>) {
    using Limits = std::numeric_limits<T>;
    constexpr auto kMost = sizeof(T) == sizeof(std::int64_t)
                             ? std::numeric_limits<std::int64_t>::max()
                             : static_cast<std::int64_t>(Limits::max());
    const auto n = ReadInteger(aValue, static_cast<std::int64_t>(Limits::min()),
                               kMost, aReader);
    if (n) {
      aOut = static_cast<T>(*n);
    }
  } else if constexpr (DescribedStruct<T>) {
    ReadStruct(aValue, aOut, aReader);
  } else {
    ReadScalar(aValue, aOut, aReader);
  }
}

/// Turns a typed object into a JSON value.
template<class T>
[[nodiscard]] json::value Write(const T& aValue)
{
  if constexpr (IsVector<T>::value) {
    json::array out;
    out.reserve(aValue.size());
    for (const auto& it : aValue) {
      out.push_back(Write(it));
    }
    return out;
  } else if constexpr (IsMap<T>::value) {
    json::object out;
    for (const auto& [key, value] : aValue) {
      out[key] = Write(value);
    }
    return out;
  } else if constexpr (IsOptional<T>::value) {
    return aValue ? Write(*aValue) : json::value(nullptr);
  } else if constexpr (DescribedEnum<T>) {
    return json::value(
      EnumeratorName(boost::describe::enum_to_string(aValue, "")));
  } else if constexpr (std::integral<T> && !std::same_as<T, bool>) {
    return json::value(static_cast<std::int64_t>(aValue));
  } else if constexpr (DescribedStruct<T>) {
    json::object out;
    boost::mp11::mp_for_each<MembersOf<T>>([&](auto aMember) {
      auto value = Write(aValue.*aMember.pointer);
      if (!value.is_null()) {
        out[FieldName(aMember.name)] = std::move(value);
      }
    });
    return out;
  } else {
    return WriteScalar(aValue);
  }
}

/// Parses JSON text into a typed object.
/// @returns the problems found; empty where the object is whole
template<class T>
[[nodiscard]] Problems FromJson(std::string_view aText, T& aOut)
{
  Reader reader;
  json::error_code ec;
  const auto value = json::parse({ aText.data(), aText.size() }, ec);
  if (ec) {
    reader.Fail("text that is not JSON (" + ec.message() + ")", "JSON");
    return reader.Found();
  }
  Read(value, aOut, reader);
  return reader.Found();
}

/// Writes a typed object as compact JSON text.
template<class T>
[[nodiscard]] std::string ToJson(const T& aValue)
{
  return json::serialize(Write(aValue));
}

} // namespace guavaline::detail
