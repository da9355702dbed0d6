#include "operator/where.hpp"

#include "http/client.hpp"

#include <ostream>

namespace guavaline::detail {

namespace {

constexpr Millis kAnswerTimeout{ 3'000 };

} // namespace

std::string WhereTarget(const WhereQuestion& aQuestion)
{
  std::string out = "/where?host=" + EncodeParameter(aQuestion.mHost) +
                    "&path=" + EncodeParameter(aQuestion.mPath);
  const auto add = [&](const char* aName, const std::string& aValue) {
    if (!aValue.empty()) {
      out += std::string("&") + aName + "=" + EncodeParameter(aValue);
    }
  };
  add("object", aQuestion.mObject);
  add("account", aQuestion.mAccount);
  add("limit_ms", aQuestion.mLimitMs);
  return out;
}

leaf::result<ExitCode> WhereCommand(const WhereQuestion& aQuestion,
                                    std::ostream& aOut)
{
  const auto entry = ParseEndpoint(aQuestion.mEntry);
  if (!entry) {
    return leaf::new_error(BadInput{ { { {},
                                         0,
                                         "--entry",
                                         "\"" + aQuestion.mEntry + "\"",
                                         "IP:PORT of its metrics" } } });
  }
  HttpRequest request;
  request.mTarget = WhereTarget(aQuestion);
  const auto result = ExchangeNow(*entry, request, kAnswerTimeout);
  if (!result.mResponse) {
    return leaf::new_error(result.mError);
  }
  if (result.mResponse->mStatus != 200) {
    return leaf::new_error(Error{ "where", aQuestion.mEntry,
                                  "status " +
                                    std::to_string(result.mResponse->mStatus) +
                                    ": " + result.mResponse->mBody });
  }
  aOut << result.mResponse->mBody;
  return ExitCode::Done;
}

} // namespace guavaline::detail
