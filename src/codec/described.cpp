#include "codec/described.hpp"

#include <charconv>

namespace guavaline::detail {
namespace {

constexpr std::size_t kShownLength = 60;

bool IsUpper(char aChar)
{
  return aChar >= 'A' && aChar <= 'Z';
}

template<class T, class F>
void ReadText(const json::value& aValue, T& aOut, Reader& aReader, F aParse,
              const char* aAllowed)
{
  if (aValue.is_string()) {
    if (const auto it = aParse(std::string_view(aValue.get_string()))) {
      aOut = *it;
      return;
    }
  }
  aReader.Fail(Reader::Show(aValue), aAllowed);
}

} // namespace

std::string EnumeratorName(std::string_view aEnumerator)
{
  std::string out;
  for (const char it : aEnumerator) {
    if (IsUpper(it)) {
      if (!out.empty()) {
        out += '_';
      }
      out += static_cast<char>(it - 'A' + 'a');
    } else {
      out += it;
    }
  }
  return out;
}

std::string FieldName(std::string_view aMember)
{
  return EnumeratorName(aMember.substr(1));
}

void Reader::Fail(std::string aFound, std::string aAllowed)
{
  mProblems.push_back(
    Problem{ {}, 0, mPath, std::move(aFound), std::move(aAllowed) });
}

std::string Reader::Show(const json::value& aValue)
{
  auto text = json::serialize(aValue);
  if (text.size() > kShownLength) {
    text.resize(kShownLength);
    text += "...";
  }
  return text;
}

void ReadScalar(const json::value& aValue, std::string& aOut, Reader& aReader)
{
  if (!aValue.is_string()) {
    aReader.Fail(Reader::Show(aValue), "text");
    return;
  }
  aOut = aValue.get_string();
}

void ReadScalar(const json::value& aValue, bool& aOut, Reader& aReader)
{
  if (aValue.is_bool()) {
    aOut = aValue.get_bool();
    return;
  }
  const auto read = [](std::string_view aText) -> std::optional<bool> {
    if (aText == "true") {
      return true;
    }
    if (aText == "false") {
      return false;
    }
    return std::nullopt;
  };
  ReadText(aValue, aOut, aReader, read, "true or false");
}

void ReadScalar(const json::value& aValue, double& aOut, Reader& aReader)
{
  if (aValue.is_number()) {
    aOut = aValue.to_number<double>();
    return;
  }
  const auto read = [](std::string_view aText) -> std::optional<double> {
    double out = 0;
    const auto* end = aText.data() + aText.size();
    const auto result = std::from_chars(aText.data(), end, out);
    if (result.ec != std::errc{} || result.ptr != end) {
      return std::nullopt;
    }
    return out;
  };
  ReadText(aValue, aOut, aReader, read, "a number");
}

std::optional<std::int64_t> ReadInteger(const json::value& aValue,
                                        std::int64_t aLeast, std::int64_t aMost,
                                        Reader& aReader)
{
  std::optional<std::int64_t> out;
  if (aValue.is_int64()) {
    out = aValue.get_int64();
  } else if (aValue.is_string()) {
    const auto& text = aValue.get_string();
    std::int64_t n = 0;
    const auto* end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, n);
    if (result.ec == std::errc{} && result.ptr == end) {
      out = n;
    }
  }
  if (!out || *out < aLeast || *out > aMost) {
    aReader.Fail(Reader::Show(aValue), "a whole number from " +
                                         std::to_string(aLeast) + " to " +
                                         std::to_string(aMost));
    return std::nullopt;
  }
  return out;
}

void ReadScalar(const json::value& aValue, Millis& aOut, Reader& aReader)
{
  ReadText(aValue, aOut, aReader, ParseDuration,
           "a duration with its unit, such as 250ms, 3s, 15m, 2h or 7d");
}

void ReadScalar(const json::value& aValue, BitRate& aOut, Reader& aReader)
{
  ReadText(aValue, aOut, aReader, ParseBitRate,
           "a rate with its unit, such as 280Mbit/s or 4Gbit/s");
}

void ReadScalar(const json::value& aValue, WallTime& aOut, Reader& aReader)
{
  ReadText(aValue, aOut, aReader, ParseWallTime,
           "a UTC time such as 2026-12-20T18:00:00Z");
}

json::value WriteScalar(const std::string& aValue)
{
  return json::value(aValue);
}

json::value WriteScalar(bool aValue)
{
  return json::value(aValue);
}

json::value WriteScalar(double aValue)
{
  return json::value(aValue);
}

json::value WriteScalar(Millis aValue)
{
  return json::value(FormatDuration(aValue));
}

json::value WriteScalar(BitRate aValue)
{
  return json::value(FormatBitRate(aValue));
}

json::value WriteScalar(WallTime aValue)
{
  return json::value(FormatWallTime(aValue));
}

} // namespace guavaline::detail
