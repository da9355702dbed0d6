#include "http/message.hpp"

#include <algorithm>
#include <array>

namespace guavaline::detail {
namespace {

constexpr std::array<std::string_view, 9> kHopByHop{
  "connection",          "keep-alive", "proxy-authenticate",
  "proxy-authorization", "te",         "trailer",
  "transfer-encoding",   "upgrade",    "content-length"
};

char Lower(char aChar) noexcept
{
  return aChar >= 'A' && aChar <= 'Z' ? static_cast<char>(aChar - 'A' + 'a')
                                      : aChar;
}

int HexDigit(char aChar) noexcept
{
  const char c = Lower(aChar);
  if (c >= '0' && c <= '9') {
    return c - '0';
  }
  if (c >= 'a' && c <= 'f') {
    return c - 'a' + 10;
  }
  return -1;
}

std::string Decode(std::string_view aText)
{
  std::string out;
  for (std::size_t n = 0; n < aText.size(); ++n) {
    if (aText[n] == '%' && n + 2 < aText.size() + 0) {
      const int high = HexDigit(aText[n + 1]);
      const int low = HexDigit(aText[n + 2]);
      if (high >= 0 && low >= 0) {
        out += static_cast<char>(high * 16 + low);
        n += 2;
        continue;
      }
    }
    out += aText[n] == '+' ? ' ' : aText[n];
  }
  return out;
}

} // namespace

bool SameName(std::string_view aFirst, std::string_view aSecond) noexcept
{
  return std::equal(aFirst.begin(), aFirst.end(), aSecond.begin(),
                    aSecond.end(),
                    [](char a, char b) { return Lower(a) == Lower(b); });
}

std::string_view FindHeader(const Headers& aHeaders,
                            std::string_view aName) noexcept
{
  for (const auto& it : aHeaders) {
    if (SameName(it.mName, aName)) {
      return it.mValue;
    }
  }
  return {};
}

std::string_view PathOf(std::string_view aTarget) noexcept
{
  return aTarget.substr(0, aTarget.find('?'));
}

std::optional<std::string> QueryParameter(std::string_view aTarget,
                                          std::string_view aName)
{
  auto at = aTarget.find('?');
  while (at != std::string_view::npos) {
    auto rest = aTarget.substr(at + 1);
    const auto end = rest.find('&');
    const auto pair = rest.substr(0, end);
    const auto equals = pair.find('=');
    if (pair.substr(0, equals) == aName) {
      return equals == std::string_view::npos ? std::string()
                                              : Decode(pair.substr(equals + 1));
    }
    at = end == std::string_view::npos ? end : at + 1 + end;
  }
  return std::nullopt;
}

std::string EncodeParameter(std::string_view aText)
{
  static constexpr std::string_view kDigits = "0123456789ABCDEF";
  std::string out;
  for (const char it : aText) {
    const bool plain = (it >= 'a' && it <= 'z') || (it >= 'A' && it <= 'Z') ||
                       (it >= '0' && it <= '9') || it == '-' || it == '_' ||
                       it == '.' || it == '~';
    if (plain) {
      out += it;
      continue;
    }
    const auto byte = static_cast<unsigned char>(it);
    out += '%';
    out += kDigits[byte >> 4U];
    out += kDigits[byte & 15U];
  }
  return out;
}

HttpResponse TextResponse(unsigned aStatus, std::string aBody)
{
  HttpResponse out;
  out.mStatus = aStatus;
  out.mHeaders = { { "Content-Type", "text/plain" } };
  out.mBody = std::move(aBody);
  return out;
}

HttpResponse JsonResponse(unsigned aStatus, std::string aBody)
{
  return { aStatus,
           { { "Content-Type", "application/json" } },
           std::move(aBody) };
}

bool IsHopByHop(std::string_view aName) noexcept
{
  return std::any_of(
    kHopByHop.begin(), kHopByHop.end(),
    [aName](std::string_view a) { return SameName(a, aName); });
}

} // namespace guavaline::detail
