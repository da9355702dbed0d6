#pragma once

/// Describes messages of crashes to the codec.

#include "codec/described.hpp"

#include <guavaline/crashes/crash_news.hpp>

namespace guavaline {

BOOST_DESCRIBE_STRUCT(CrashNews, (),
                      (mDigests, mLives, mStarted, mCrashed, mServed,
                       mServedAges, mUncertain))

} // namespace guavaline
