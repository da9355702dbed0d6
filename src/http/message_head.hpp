#pragma once

/// Writes the heads of HTTP/1.1 messages.

#include "http/message.hpp"

namespace guavaline::detail {

/// @returns the request line and fields, with the length of the body
/// @param aHost  Host field where the request has none
[[nodiscard]] std::string RequestHead(const HttpRequest& aRequest,
                                      const std::string& aHost);

/// @returns the status line and fields, with the length of the body
/// @param aToHead  the response answers a HEAD request
[[nodiscard]] std::string ResponseHead(const HttpResponse& aResponse,
                                       bool aKeepAlive, bool aToHead);

/// @returns true where responses with a status never have a body
[[nodiscard]] bool IsBodiless(unsigned aStatus) noexcept;

} // namespace guavaline::detail
