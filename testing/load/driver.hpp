#pragma once

/// Open-loop load: calls start at times drawn beforehand, whether or not
/// earlier ones have ended, and latency counts from those times.

#include "callers/caller.hpp"
#include "history/event.hpp"

#include <guavaline/configuration/model.hpp>

#include <boost/asio/io_context.hpp>

namespace guavaline::testing {

/// Calls of one kind from one place.
struct LoadStream
{
  std::string mService;
  std::string mClass; ///< check, confirm or upload.
  std::string mPlace;
  double mPerSecond = 0;
  Millis mTimeout{ 5'000 };
  std::size_t mBodyBytes = 200;
  std::string mBody; ///< Instead of a drawn one.
  std::string mPath; ///< Instead of a path of its own for each call.
};

struct LoadPlan
{
  std::vector<detail::Endpoint> mEntries; ///< To ask first.
  std::vector<LoadStream> mStreams;
  std::size_t mCallersPerStream = 6;
  Millis mDuration{ 10'000 };
  std::uint64_t mSeed = 1;
};

/// Runs a load until all its calls have ended.
boost::asio::awaitable<void> RunLoad(boost::asio::io_context& aContext,
                                     LoadPlan aPlan, History& aHistory);

/// Makes the three classes' streams for every service and region.
/// @param aUtilization  expected slots in use over all slots
/// @param aMeanMs       mean service time of the targets
[[nodiscard]] std::vector<LoadStream> StreamsFor(
  const Configuration& aConfiguration, double aUtilization, double aMeanMs);

} // namespace guavaline::testing
