#include "entry/entry.hpp"

#include "fixtures.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <criterion/criterion.h>

using namespace guavaline;
using namespace guavaline::detail;

namespace {

namespace asio = boost::asio;

PlatformAdapter MakeAdapter()
{
  PlatformAdapter out;
  out.mReadLookup = [](const HttpRequest&) {
    return std::optional<LookupQuestion>({ "a.example", "r1" });
  };
  out.mWriteLookup = [](const std::vector<std::string>& aEntries, Millis) {
    HttpResponse answer;
    answer.mStatus = 200;
    answer.mBody = std::to_string(aEntries.size());
    return answer;
  };
  return out;
}

/// An entry that has just started.
struct Bed
{
  asio::io_context mContext{ 1 };
  Entry mEntry{ mContext, tests::EntrySettingsOf("e1"), MakeAdapter() };

  unsigned Ask()
  {
    unsigned out = 0;
    asio::co_spawn(
      mContext,
      [&]() -> asio::awaitable<void> {
        HttpRequest request;
        const auto answer = co_await AnswerLookup(mEntry, std::move(request));
        out = answer.mStatus;
      },
      asio::detached);
    mContext.restart();
    mContext.run();
    return out;
  }

  void List(ObjectKind aKind) { mEntry.mFollows[aKind].mView.mListed = true; }
};

} // namespace

Test(lookups, an_entry_that_cannot_serve_yet_leads_nobody_to_itself)
{
  // An entry that starts while the store is out has no view; callers in its
  // failure domain ask it first.
  Bed bed;
  cr_assert_eq(bed.Ask(), 503U);
  bed.mEntry.mRouting.mVersion = 3;
  bed.List(ObjectKind::Targets);
  bed.List(ObjectKind::Evacuations);
  // It knows no other entry yet.
  cr_assert_eq(bed.Ask(), 503U);
  bed.List(ObjectKind::Entries);
  cr_assert_eq(bed.Ask(), 200U);
}
