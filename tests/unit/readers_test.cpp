/// Mutated input to every reader, with fixed seeds; run under the sanitizers.

#include "fixtures.hpp"

#include "peers/messages.hpp"

#include <guavaline/attempts/attempts.hpp>
#include <guavaline/configuration/check.hpp>
#include <guavaline/core/units.hpp>

#include <criterion/criterion.h>

#include <random>

using namespace guavaline;

namespace {

/// Changes, drops, doubles or inserts a few bytes.
std::string Mutate(std::string aText, std::mt19937_64& aRandom)
{
  constexpr std::string_view kBytes = "{}[]:,\"'-#&*!|>%@ \n\t\0\xff\\09az.";
  const auto changes = 1 + aRandom() % 4;
  for (std::uint64_t n = 0; n < changes && !aText.empty(); ++n) {
    const auto at = aRandom() % aText.size();
    const auto byte = kBytes[aRandom() % kBytes.size()];
    switch (aRandom() % 4) {
      case 0:
        aText[at] = byte;
        break;
      case 1:
        aText.erase(at, 1 + aRandom() % 20);
        break;
      case 2:
        aText.insert(at, 1, byte);
        break;
      default:
        aText.insert(at, aText.substr(aRandom() % aText.size(), 30));
        break;
    }
  }
  return aText;
}

} // namespace

Test(readers, broken_answers_are_problems_or_read_whole, .timeout = 120)
{
  constexpr int kInputs = 1'500;
  const auto text = tests::ReadRepositoryFile("examples/tussock.yaml");
  std::mt19937_64 random(11);
  int refused = 0;
  for (int n = 0; n < kInputs; ++n) {
    Answers answers;
    const auto problems = ReadAnswers("f", Mutate(text, random), answers);
    for (const auto& it : problems) {
      cr_assert_not(it.mField.empty() && it.mFound.empty());
    }
    refused += problems.empty() ? 0 : 1;
    if (problems.empty()) {
      const auto configuration = Generate(answers);
      (void)Check(configuration);
      Configuration again;
      cr_assert(FromStored(ToStored(configuration), again).empty());
    }
  }
  cr_assert_gt(refused, kInputs / 4);
}

Test(readers, broken_stored_configurations_do_no_harm, .timeout = 120)
{
  constexpr int kInputs = 1'500;
  const auto text = ToStored(tests::Example("tussock"));
  std::mt19937_64 random(12);
  for (int n = 0; n < kInputs; ++n) {
    Configuration out;
    if (FromStored(Mutate(text, random), out).empty()) {
      (void)Check(out);
    }
  }
}

Test(readers, broken_messages_of_peers_do_no_harm, .timeout = 120)
{
  constexpr int kInputs = 20'000;
  Heartbeat heartbeat;
  heartbeat.mSender = { "waikato-a1", 7, 9, false, 3 };
  heartbeat.mNews = { heartbeat.mSender, heartbeat.mSender };
  heartbeat.mCrashers = { "0123456789abcdef" };
  const auto text = detail::ToJson(heartbeat);
  std::mt19937_64 random(13);
  for (int n = 0; n < kInputs; ++n) {
    const auto broken = Mutate(text, random);
    Heartbeat one;
    (void)detail::FromJson(broken, one);
    detail::BorrowQuestion two;
    (void)detail::FromJson(broken, two);
    detail::ReturnMessage three;
    (void)detail::FromJson(broken, three);
  }
}

Test(readers, broken_identities_and_quantities_do_no_harm, .timeout = 120)
{
  constexpr int kInputs = 50'000;
  std::mt19937_64 random(14);
  for (int n = 0; n < kInputs; ++n) {
    const auto text = Mutate("waikato-a1.1f2e3d.4.farm-17-1", random);
    if (const auto identity = ParseIdentity(text)) {
      cr_assert_not(identity->mUnique.empty());
    }
    (void)ParseDuration(Mutate("1500ms", random));
    (void)ParseBitRate(Mutate("280Mbit/s", random));
    (void)ParseWallTime(Mutate("2026-12-20T18:00:00Z", random));
  }
}
