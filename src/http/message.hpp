#pragma once

/// HTTP requests and responses as plain structs.

#include <guavaline/core/time.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace guavaline::detail {

/// One header field.
struct Header
{
  std::string mName;
  std::string mValue;
};

using Headers = std::vector<Header>;

struct HttpRequest
{
  std::string mMethod = "GET";
  std::string mTarget = "/"; ///< Path and query.
  Headers mHeaders;
  std::string mBody;
  std::uint64_t mConnection = 0; ///< At a server: which connection it came by.
  TimePoint mArrived{};          ///< At a server: when its header was read.
};

struct HttpResponse
{
  unsigned mStatus = 200;
  Headers mHeaders;
  std::string mBody;
};

/// @returns the value of a field, names compared without case; or empty
[[nodiscard]] std::string_view FindHeader(const Headers& aHeaders,
                                          std::string_view aName) noexcept;

/// @returns the path of a request target
[[nodiscard]] std::string_view PathOf(std::string_view aTarget) noexcept;

/// @returns a query parameter, percent decoded; nothing where it is absent
[[nodiscard]] std::optional<std::string> QueryParameter(
  std::string_view aTarget, std::string_view aName);

/// Percent-encodes a query value.
[[nodiscard]] std::string EncodeParameter(std::string_view aText);

/// @returns an answer of plain text
[[nodiscard]] HttpResponse TextResponse(unsigned aStatus, std::string aBody);

/// Makes a response with a JSON body.
[[nodiscard]] HttpResponse JsonResponse(unsigned aStatus, std::string aBody);

/// @returns true where two field names are the same but for case
[[nodiscard]] bool SameName(std::string_view aFirst,
                            std::string_view aSecond) noexcept;

/// @returns true for hop-by-hop fields, which are not forwarded
[[nodiscard]] bool IsHopByHop(std::string_view aName) noexcept;

} // namespace guavaline::detail
