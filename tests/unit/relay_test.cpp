#include "entry/messages.hpp"

#include "fixtures.hpp"

#include <criterion/criterion.h>

using namespace guavaline;
using namespace guavaline::detail;
using namespace std::chrono_literals;

namespace {

/// An entry whose view of entries' records stands at revision 10.
struct Bed
{
  boost::asio::io_context mContext{ 1 };
  Entry mEntry;

  explicit Bed(const std::string& aName)
    : mEntry(mContext, tests::EntrySettingsOf(aName), MakeAdapter())
  {
    auto& view = mEntry.mFollows[ObjectKind::Entries].mView;
    TakeListing(view, {}, 10);
    Confirm(view, Clock::now());
  }

  static PlatformAdapter MakeAdapter()
  {
    PlatformAdapter out;
    out.mReadEntry = [](const ObjectChange& a) {
      EntryRecord record;
      record.mName = a.mName;
      return std::optional<EntryRecord>(record);
    };
    return out;
  }

  FollowState& State() { return mEntry.mFollows[ObjectKind::Entries]; }

  void Change(const std::string& aName, std::uint64_t aRevision,
              std::size_t aBytes)
  {
    const ObjectChange change{ aName, aRevision, false,
                               std::string(aBytes, 'x') };
    TakeChanges(State().mView, { change }, aRevision);
  }

  std::string Answer(std::uint64_t aFrom)
  {
    const ViewQuestion question{ ObjectKind::Entries, aFrom, std::nullopt };
    return AnswerPull(mEntry, ToJson(question));
  }
};

} // namespace

Test(relay, changes_are_passed_on)
{
  Bed source("e1");
  Bed follower("e2");
  source.Change("e7", 12, 100);
  TakePush(follower.mEntry, source.Answer(10));
  cr_assert_eq(follower.State().mView.mRevision, 12U);
  cr_assert_eq(follower.mEntry.mRoster.mOthers.count("e7"), 1U);
  cr_assert_not(follower.State().mBehind);
}

Test(relay, a_change_that_is_too_large_sends_the_follower_to_the_store)
{
  Bed source("e1");
  Bed follower("e2");
  source.Change("e7", 12, 400'000);
  const auto answer = source.Answer(10);
  cr_assert_lt(answer.size(), 1'000U);
  TakePush(follower.mEntry, answer);
  cr_assert_eq(follower.State().mView.mRevision, 10U);
  cr_assert(follower.State().mBehind);
}

Test(relay, after_a_gap_the_follower_goes_to_the_store)
{
  Bed source("e1");
  Bed follower("e2");
  source.Change("e7", 12, 100);
  source.Change("e8", 14, 100);
  TakePush(follower.mEntry, source.Answer(13));
  cr_assert_eq(follower.State().mView.mRevision, 10U);
  cr_assert(follower.State().mBehind);
}

Test(relay, an_entry_whose_record_others_removed_writes_it_again)
{
  Bed entry("e1");
  entry.mEntry.mRecordWritten = true;
  ApplyChanges(entry.mEntry, ObjectKind::Entries, { { "e7", 11, true, {} } },
               Clock::now());
  cr_assert(entry.mEntry.mRecordWritten);
  ApplyChanges(entry.mEntry, ObjectKind::Entries, { { "e1", 12, true, {} } },
               Clock::now());
  cr_assert_not(entry.mEntry.mRecordWritten);
}

Test(relay, a_peer_at_the_same_revision_confirms_the_view)
{
  Bed first("e1");
  Bed second("e2");
  const auto now = Clock::now() + 10s;
  Confirm(first.State().mView, now);
  cr_assert(
    HearViews(second.mEntry, TellViews(first.mEntry, now), now).empty());
  cr_assert_eq(second.State().mView.mConfirmed, now);
  first.Change("e7", 12, 10);
  const auto newer =
    HearViews(second.mEntry, TellViews(first.mEntry, now), now);
  cr_assert_eq(newer.size(), 1U);
}

namespace {

/// Lets an entry list its view from a store that was restored.
void Restore(Bed& aBed)
{
  TakeRestored(aBed.State().mView, {}, 2, 8, {}, Clock::now());
  NoteEpoch(aBed.mEntry, 2, "store");
}

} // namespace

// Guards against entries that take one history's revisions for another's.
Test(relay, a_peer_of_another_epoch_neither_confirms_nor_changes_the_view)
{
  Bed old("e1");
  Bed restored("e2");
  Restore(restored);
  const auto now = Clock::now() + 10s;
  const auto before = restored.State().mView.mConfirmed;
  Confirm(old.State().mView, now);
  old.Change("e7", 12, 10);
  cr_assert(
    HearViews(restored.mEntry, TellViews(old.mEntry, now), now).empty());
  TakePush(restored.mEntry, old.Answer(8));
  cr_assert_eq(restored.State().mView.mConfirmed, before);
  cr_assert_eq(restored.State().mView.mRevision, 8U);
  cr_assert(restored.mEntry.mRoster.mOthers.empty());
  cr_assert_not(restored.State().mBehind);
}

// An entry that listens to others does not watch, and so meets no 410.
Test(relay, word_of_a_later_epoch_sends_an_entry_to_the_store)
{
  Bed listening("e1");
  Bed restored("e2");
  Restore(restored);
  const auto now = Clock::now();
  cr_assert_eq(listening.mEntry.mStoreEpoch, kFirstEpoch);
  cr_assert(
    HearViews(listening.mEntry, TellViews(restored.mEntry, now), now).empty());
  cr_assert_eq(listening.mEntry.mStoreEpoch, 2U);
}

Test(relay, the_first_epoch_is_left_out_of_messages)
{
  Bed bed("e1");
  cr_assert_eq(ToJson(TellViews(bed.mEntry, Clock::now())[0]).find("epoch"),
               std::string::npos);
  Restore(bed);
  cr_assert_neq(ToJson(TellViews(bed.mEntry, Clock::now())[0]).find("epoch"),
                std::string::npos);
}

Test(relay, news_of_a_region_survives_its_short_form)
{
  Bed bed("e1");
  EntryRecord peer;
  peer.mName = "e2";
  peer.mIncarnation = 0x1234567890abcdefULL;
  TakeRecord(bed.mEntry.mRoster, peer, Clock::now());
  const auto packed = PackNews(
    { { "e2", peer.mIncarnation, 41, true, 12.4 }, { "e9", 77, 1, false, 0 } });
  const auto news = UnpackNews(bed.mEntry.mRoster, packed);
  cr_assert(news);
  // Of an entry whose record is not known nothing is taken in.
  cr_assert_eq(news->size(), 1U);
  cr_assert_eq(news->front().mName, "e2");
  cr_assert_eq(news->front().mIncarnation, peer.mIncarnation);
  cr_assert_eq(news->front().mCounter, 41U);
  cr_assert(news->front().mLeaving);
  cr_assert_float_eq(news->front().mRate, 12, 0.01);
}

Test(relay, malformed_news_of_a_region_is_refused)
{
  Bed bed("e1");
  RegionNews news;
  news.mEntries = { 1, 2 };
  news.mCounters = { 1 };
  news.mRates = { 1, 2 };
  cr_assert_not(UnpackNews(bed.mEntry.mRoster, news));
}

// Entries that pass a confirmation round must not make it later, or views that
// the store no longer confirms count as current for too long.
Test(relay, a_confirmation_that_is_passed_round_does_not_become_later)
{
  Bed second("e2");
  Bed first("e1");
  const auto confirmed = first.State().mView.mConfirmed;
  auto now = confirmed;
  for (int n = 0; n < 50; ++n) {
    now += 10'700us;
    (void)HearViews(second.mEntry, TellViews(first.mEntry, now), now);
    now += 10'700us;
    (void)HearViews(first.mEntry, TellViews(second.mEntry, now), now);
  }
  cr_assert_leq(first.State().mView.mConfirmed, confirmed);
  cr_assert_leq(second.State().mView.mConfirmed, confirmed);
}

Test(relay, a_push_confirms_no_later_than_it_was_told)
{
  Bed source("e1");
  Bed follower("e2");
  follower.State().mView.mConfirmed = TimePoint{};
  source.Change("e7", 12, 100);
  const auto answer = source.Answer(10);
  const auto told = Clock::now();
  TakePush(follower.mEntry, answer);
  cr_assert_leq(follower.State().mView.mConfirmed, told);
}
