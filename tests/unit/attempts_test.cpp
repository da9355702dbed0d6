#include <guavaline/attempts/attempts.hpp>

#include <criterion/criterion.h>

#include <map>
#include <random>

using namespace guavaline;
using namespace std::chrono_literals;

namespace {

const TimePoint kNow{ 1000s };
constexpr Millis kRetention{ 400'000 };
constexpr std::uint64_t kDigest = 77;

AttemptTable Table(const std::string& aEntry, std::uint64_t aNumber = 7)
{
  return MakeAttemptTable({ aEntry, aNumber }, kRetention, kNow);
}

} // namespace

Test(attempts, an_identity_reads_back)
{
  const auto table = Table("a", 0xabc);
  const auto text = IdentityPrefix(table, kNow) + "x-1";
  const auto identity = ParseIdentity(text);
  cr_assert(identity.has_value());
  cr_assert_eq(identity->mIssuer.mEntry, "a");
  cr_assert_eq(identity->mIssuer.mNumber, 0xabcU);
  cr_assert_eq(identity->mUnique, "x-1");
}

Test(attempts, a_malformed_identity_is_refused_and_not_remembered)
{
  auto table = Table("a");
  for (const auto* it :
       { "", "a", "a.b", "a.1.2", "a.1.2.", ".1.2.x", "a.g.2.x", "a.1.2.x y",
         "a.1.2.x\r\ny", "a.1.2.x.y" }) {
    cr_assert_eq(Admit(table, it, kDigest, kNow).mAction,
                 AdmitAction::Malformed, "%s", it);
  }
  cr_assert(table.mAttempts.empty());
}

Test(attempts, a_resend_gets_the_recorded_outcome)
{
  auto table = Table("a");
  const auto id = IdentityPrefix(table, kNow) + "1";
  cr_assert_eq(Admit(table, id, kDigest, kNow).mAction, AdmitAction::Run);
  cr_assert(StartRun(table, id));
  cr_assert_eq(Admit(table, id, kDigest, kNow).mAction, AdmitAction::Join);
  FinishRun(table, id, { 200, "t", "body" });
  const auto again = Admit(table, id, kDigest, kNow);
  cr_assert_eq(again.mAction, AdmitAction::Replay);
  cr_assert_eq(again.mOutcome.mBody, "body");
  cr_assert_not(StartRun(table, id));
}

Test(attempts, an_unanswered_run_is_never_run_again)
{
  auto table = Table("a");
  const auto id = IdentityPrefix(table, kNow) + "1";
  (void)Admit(table, id, kDigest, kNow);
  cr_assert(StartRun(table, id));
  FinishUnknown(table, id);
  cr_assert_eq(Admit(table, id, kDigest, kNow).mAction, AdmitAction::Unknown);
  cr_assert_not(StartRun(table, id));
}

Test(attempts, what_did_not_run_may_run_later)
{
  auto table = Table("a");
  const auto id = IdentityPrefix(table, kNow) + "1";
  (void)Admit(table, id, kDigest, kNow);
  cr_assert(StartRun(table, id));
  FinishNotRun(table, id);
  cr_assert_eq(Admit(table, id, kDigest, kNow).mAction, AdmitAction::Run);
}

Test(attempts, a_resend_elsewhere_moves_the_right_to_run)
{
  auto a = Table("a");
  auto b = Table("b");
  const auto id = IdentityPrefix(a, kNow) + "1";
  const auto ask = Admit(b, id, kDigest, kNow);
  cr_assert_eq(ask.mAction, AdmitAction::Ask);
  cr_assert(ask.mAsk == a.mSelf);
  const auto answer = Resolve(a, id, a.mSelf, b.mSelf, kNow);
  cr_assert_eq(TakeAnswer(b, id, answer).mAction, AdmitAction::Run);
  cr_assert(StartRun(b, id));
  // The issuer may not run it any more; it asks the holder.
  cr_assert_not(StartRun(a, id));
  const auto back = Admit(a, id, kDigest, kNow);
  cr_assert_eq(back.mAction, AdmitAction::Ask);
  cr_assert(back.mAsk == b.mSelf);
}

Test(attempts, a_lost_answer_to_a_move_can_be_asked_again)
{
  auto a = Table("a");
  auto b = Table("b");
  const auto id = IdentityPrefix(a, kNow) + "1";
  (void)Admit(b, id, kDigest, kNow);
  (void)Resolve(a, id, a.mSelf, b.mSelf, kNow);
  AbandonAsk(b, id);
  cr_assert_eq(Admit(b, id, kDigest, kNow).mAction, AdmitAction::Ask);
  const auto answer = Resolve(a, id, a.mSelf, b.mSelf, kNow);
  cr_assert_eq(TakeAnswer(b, id, answer).mAction, AdmitAction::Run);
}

Test(attempts, a_restarted_issuer_says_unknown)
{
  const auto old = Table("a", 1);
  auto fresh = Table("a", 2);
  const auto id = IdentityPrefix(old, kNow) + "1";
  cr_assert_eq(Admit(fresh, id, kDigest, kNow).mAction, AdmitAction::Unknown);
  cr_assert_eq(Resolve(fresh, id, old.mSelf, { "b", 1 }, kNow).mVerdict,
               ResolveVerdict::Unknown);
  cr_assert(fresh.mAttempts.empty());
}

Test(attempts, an_identity_past_retention_is_never_run)
{
  auto table = Table("a");
  const auto id = IdentityPrefix(table, kNow) + "1";
  (void)Admit(table, id, kDigest, kNow);
  (void)StartRun(table, id);
  FinishRun(table, id, { 200, "", "" });
  const auto later = kNow + 3 * kRetention;
  ForgetOld(table, later);
  cr_assert(table.mAttempts.empty());
  cr_assert_eq(Admit(table, id, kDigest, later).mAction, AdmitAction::Unknown);
  cr_assert_eq(Resolve(table, id, table.mSelf, { "b", 1 }, later).mVerdict,
               ResolveVerdict::Unknown);
}

Test(attempts, records_outlive_every_identity_that_is_still_current)
{
  auto table = Table("a");
  for (Millis age{ 0 }; age < 2 * kRetention; age += 1s) {
    auto copy = table;
    const auto id = IdentityPrefix(copy, kNow) + "1";
    (void)Admit(copy, id, kDigest, kNow);
    (void)StartRun(copy, id);
    FinishRun(copy, id, { 200, "", "" });
    ForgetOld(copy, kNow + age);
    cr_assert_neq(Admit(copy, id, kDigest, kNow + age).mAction,
                  AdmitAction::Run);
  }
}

Test(attempts, a_full_table_refuses_without_running)
{
  auto table = Table("a");
  table.mMaxAttempts = 1;
  const auto prefix = IdentityPrefix(table, kNow);
  cr_assert_eq(Admit(table, prefix + "1", kDigest, kNow).mAction,
               AdmitAction::Run);
  cr_assert_eq(Admit(table, prefix + "2", kDigest, kNow).mAction,
               AdmitAction::Full);
}

Test(attempts, an_identity_brought_by_another_request_is_refused)
{
  auto table = Table("a");
  const auto id = IdentityPrefix(table, kNow) + "1";
  cr_assert_eq(Admit(table, id, kDigest, kNow).mAction, AdmitAction::Run);
  cr_assert_eq(Admit(table, id, kDigest + 1, kNow).mAction,
               AdmitAction::Reused);
  cr_assert_eq(Admit(table, id, kDigest, kNow).mAction, AdmitAction::Run);
}

// Many entries, resends to any of them, answers lost, runs that fail, and
// restarts: no identity may be run by two, or twice by one.
Test(attempts, random_histories_run_each_identity_at_most_once)
{
  constexpr int kSeeds = 300;
  constexpr int kSteps = 400;
  constexpr std::uint64_t kEntries = 4;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    std::mt19937_64 random(seed);
    std::vector<AttemptTable> tables;
    for (std::uint64_t n = 0; n < kEntries; ++n) {
      tables.push_back(Table("e" + std::to_string(n), 100 + n));
    }
    std::uint64_t lives = 1000;
    std::map<std::string, int> dispatched;
    std::vector<std::string> ids;
    for (int step = 0; step < kSteps; ++step) {
      const auto at = random() % kEntries;
      auto& table = tables[at];
      if (ids.empty() || random() % 4 == 0) {
        ids.push_back(IdentityPrefix(table, kNow) + std::to_string(step));
      }
      const auto id = ids[random() % ids.size()];
      auto decision = Admit(table, id, kDigest, kNow);
      for (int hops = 0; hops < 4 && decision.mAction == AdmitAction::Ask;
           ++hops) {
        ResolveAnswer answer;
        for (auto& it : tables) {
          if (it.mSelf.mEntry == decision.mAsk.mEntry && random() % 4 != 0) {
            answer = Resolve(it, id, decision.mAsk, table.mSelf, kNow);
            if (random() % 4 == 0) {
              answer = {};
            }
          }
        }
        decision = TakeAnswer(table, id, answer);
      }
      if (decision.mAction == AdmitAction::Ask) {
        AbandonAsk(table, id);
      }
      if (decision.mAction == AdmitAction::Run && random() % 3 != 0 &&
          StartRun(table, id)) {
        const auto how = random() % 4;
        if (how == 0) {
          FinishNotRun(table, id);
        } else {
          cr_assert_eq(++dispatched[id], 1, "seed %lu", seed);
          if (how == 1) {
            FinishUnknown(table, id);
          } else if (how == 2) {
            FinishRun(table, id, { 200, "", "" });
          }
        }
      }
      if (random() % 50 == 0) {
        tables[at] = Table(table.mSelf.mEntry, ++lives);
      }
    }
  }
}
