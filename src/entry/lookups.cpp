/// Look-ups, readiness and metrics.

#include "entry/entry.hpp"

#include <algorithm>

namespace guavaline::detail {

namespace asio = boost::asio;

namespace {

/// How long callers keep an answer. Entries come and go within seconds.
constexpr Millis kLookupTtl{ 2'000 };

} // namespace

bool IsReady(const Entry& aEntry)
{
  const auto targets = aEntry.mFollows.find(ObjectKind::Targets);
  const auto evacuations = aEntry.mFollows.find(ObjectKind::Evacuations);
  return aEntry.mRouting.mVersion > 0 && targets != aEntry.mFollows.end() &&
         targets->second.mView.mListed &&
         evacuations != aEntry.mFollows.end() &&
         evacuations->second.mView.mListed;
}

asio::awaitable<HttpResponse> AnswerLookup(Entry& aEntry, HttpRequest aRequest)
{
  const auto question = aEntry.mPlatform.mReadLookup(aRequest);
  if (!question) {
    co_return TextResponse(404, "no such page\n");
  }
  // A started entry would name itself alone, and cannot serve yet: callers
  // turn to another entry for their look-up.
  const auto records = aEntry.mFollows.find(ObjectKind::Entries);
  if (!IsReady(aEntry) || records == aEntry.mFollows.end() ||
      !records->second.mView.mListed) {
    co_return TextResponse(503, "starting\n");
  }
  auto entries = EntriesFor(aEntry.mRoster, question->mRegion, Clock::now());
  aEntry.mMetrics.Count("lookups", "region=\"" + question->mRegion + "\"");
  if (entries.empty()) {
    co_return TextResponse(503, "no entry is known\n");
  }
  co_return aEntry.mPlatform.mWriteLookup(
    entries, std::min(kLookupTtl, aEntry.mSettings.mBounds.mLookupTtlMost));
}

asio::awaitable<HttpResponse> AnswerReady(Entry& aEntry, HttpRequest)
{
  if (aEntry.mStopping) {
    co_return TextResponse(503, "stopping\n");
  }
  co_return IsReady(aEntry) ? TextResponse(200, "ready\n")
                            : TextResponse(503, "starting\n");
}

asio::awaitable<HttpResponse> AnswerMetrics(Entry& aEntry, HttpRequest aRequest)
{
  if (PathOf(aRequest.mTarget) == "/where") {
    co_return AnswerWhere(aEntry, aRequest, Clock::now());
  }
  co_return TextResponse(200, aEntry.mMetrics.Text());
}

} // namespace guavaline::detail
