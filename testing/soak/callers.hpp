#pragma once

/// Callers of a soak: they ask entries which to use, keep connections for as
/// long as they last, and note what they sent and got.

#include "history/event.hpp"
#include "http/client.hpp"

#include <boost/asio/io_context.hpp>

#include <map>
#include <random>

namespace guavaline::testing {

/// An entry as callers see it.
struct SoakEntry
{
  std::string mName;
  std::string mRegion;
  std::string mZone;
  detail::Endpoint mLookups;
  detail::Endpoint mFront; ///< As look-ups name it.
  detail::Endpoint mProxy; ///< In front of it; callers connect here.
};

struct SoakCallersOptions
{
  std::vector<SoakEntry> mEntries;
  std::size_t mCallers = 12;
  double mPerSecond = 120; ///< Requests of all callers together.
  std::uint64_t mSeed = 1;
  TimePoint mEnd{};
};

/// Host name that the soak's routes serve.
inline constexpr const char* kSoakHost = "soak.example";

/// Sends requests until the end; runs on a thread of its own.
void RunSoakCallers(const SoakCallersOptions& aOptions, History& aHistory);

} // namespace guavaline::testing
