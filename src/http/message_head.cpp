#include "http/message_head.hpp"

#include <boost/beast/http/status.hpp>

namespace guavaline::detail {
namespace {

constexpr std::string_view kLineEnd = "\r\n";

void AddField(std::string& aOut, std::string_view aName,
              std::string_view aValue)
{
  aOut += aName;
  aOut += ": ";
  aOut += aValue;
  aOut += kLineEnd;
}

/// A request of another method without a length has no body.
bool AlwaysTellsLength(std::string_view aMethod) noexcept
{
  return aMethod == "POST" || aMethod == "PUT" || aMethod == "OPTIONS";
}

} // namespace

bool IsBodiless(unsigned aStatus) noexcept
{
  return aStatus < 200 || aStatus == 204 || aStatus == 304;
}

std::string RequestHead(const HttpRequest& aRequest, const std::string& aHost)
{
  std::string out = aRequest.mMethod + " " + aRequest.mTarget + " HTTP/1.1\r\n";
  if (FindHeader(aRequest.mHeaders, "Host").empty()) {
    AddField(out, "Host", aHost);
  }
  for (const auto& it : aRequest.mHeaders) {
    AddField(out, it.mName, it.mValue);
  }
  const auto length = aRequest.mBody.size();
  if (length > 0 || AlwaysTellsLength(aRequest.mMethod)) {
    AddField(out, "Content-Length", std::to_string(length));
  }
  out += kLineEnd;
  return out;
}

std::string ResponseHead(const HttpResponse& aResponse, bool aKeepAlive,
                         bool aToHead)
{
  const auto status = boost::beast::http::int_to_status(aResponse.mStatus);
  const auto reason = boost::beast::http::obsolete_reason(status);
  std::string out = "HTTP/1.1 " + std::to_string(aResponse.mStatus) + " " +
                    std::string(reason.data(), reason.size()) + "\r\n";
  for (const auto& it : aResponse.mHeaders) {
    AddField(out, it.mName, it.mValue);
  }
  if (!aKeepAlive) {
    AddField(out, "Connection", "close");
  }
  if (!aToHead && !IsBodiless(aResponse.mStatus)) {
    AddField(out, "Content-Length", std::to_string(aResponse.mBody.size()));
  }
  out += kLineEnd;
  return out;
}

} // namespace guavaline::detail
