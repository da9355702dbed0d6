#include <guavaline/configuration/check.hpp>
#include <guavaline/configuration/questionnaire.hpp>

#include "fixtures.hpp"

#include <criterion/criterion.h>

using namespace guavaline;
using namespace std::chrono_literals;

namespace {

bool Has(const Problems& aProblems, const std::string& aField)
{
  for (const auto& it : aProblems) {
    if (it.mField == aField) {
      return true;
    }
  }
  return false;
}

} // namespace

Test(configuration, both_examples_are_whole)
{
  for (const auto* it : { "merrimack", "tussock" }) {
    const auto configuration = tests::Example(it);
    cr_assert(Check(configuration).empty());
    cr_assert_eq(configuration.mEntries.size(), 12U);
    cr_assert_eq(configuration.mServices[0].mTargets.size(), 34U);
    cr_assert_eq(configuration.mServices[1].mTargets.size(), 12U);
  }
}

Test(configuration, the_same_answers_give_the_same_bytes)
{
  cr_assert_eq(ToYaml(tests::Example("tussock")),
               ToYaml(tests::Example("tussock")));
}

Test(configuration, yaml_and_stored_forms_read_back)
{
  const auto configuration = tests::Example("merrimack");
  Configuration fromYaml;
  cr_assert(ReadConfiguration("f", ToYaml(configuration), fromYaml).empty());
  cr_assert(fromYaml == configuration);
  Configuration fromStored;
  cr_assert(FromStored(ToStored(configuration), fromStored).empty());
  cr_assert(fromStored == configuration);
}

Test(configuration, a_typo_in_a_key_is_named_with_its_line)
{
  const auto text = tests::ReadRepositoryFile("examples/tussock.yaml");
  auto wrong = text;
  wrong.replace(wrong.find("slots_per_target"), 16, "slots_per_targte");
  Answers answers;
  const auto problems = ReadAnswers("a.yaml", wrong, answers);
  cr_assert(Has(problems, "services[0].slots_per_targte"));
  cr_assert(Has(problems, "services[0].slots_per_target"));
  cr_assert_eq(problems[0].mFile, "a.yaml");
  cr_assert_gt(problems[0].mLine, 20);
}

Test(configuration, wrong_units_and_missing_regions_are_all_named)
{
  Answers answers;
  const auto problems = ReadAnswers("a.yaml",
                                    "deployment: x\n"
                                    "between_regions:\n"
                                    "  one_way_delay: 5\n"
                                    "  capacity: 4Gb\n"
                                    "regions: 3\n",
                                    answers);
  cr_assert(Has(problems, "between_regions.one_way_delay"));
  cr_assert(Has(problems, "between_regions.capacity"));
  cr_assert(Has(problems, "regions"));
  cr_assert_eq(problems.size(), 3U);
}

Test(configuration, text_that_is_not_yaml_is_a_problem)
{
  Answers answers;
  cr_assert_eq(ReadAnswers("a", "a: [", answers).size(), 1U);
  cr_assert_eq(ReadAnswers("a", "", answers).size(), 1U);
  cr_assert(Has(ReadAnswers("a", "deployment: a\ndeployment: b\n", answers),
                "deployment"));
}

Test(configuration, contradictions_are_found_together)
{
  auto configuration = tests::Example("tussock");
  configuration.mEntries[1].mName = configuration.mEntries[0].mName;
  configuration.mEntries[2].mRegion = "nowhere";
  configuration.mEntries[3].mFailureDomain = "manawatu-a";
  configuration.mServices[0].mShiftCapPercent = 0;
  configuration.mServices[1].mTargets.clear();
  configuration.mLinks.pop_back();
  const auto problems = Check(configuration);
  cr_assert(Has(problems, "entries[1].name"));
  cr_assert(Has(problems, "entries[2].region"));
  cr_assert(Has(problems, "entries[3].failure_domain"));
  cr_assert(Has(problems, "services[0].shift_cap_percent"));
  cr_assert(Has(problems, "services[1].targets"));
  cr_assert(Has(problems, "links"));
}

Test(configuration, drains_are_checked)
{
  auto configuration = tests::Example("tussock");
  const WallTime by{ 1'800'000'000s };
  configuration.mDrains = {
    { "a", DrainScope::Region, "nowhere", by, by + 1s },
    { "b", DrainScope::Entry, "waikato-a1", by, by },
  };
  const auto problems = Check(configuration);
  cr_assert(Has(problems, "drains[0].place"));
  cr_assert(Has(problems, "drains[1].until"));
  configuration.mDrains.clear();
  for (const auto& it : configuration.mRegions) {
    configuration.mDrains.push_back(
      { it.mName, DrainScope::Region, it.mName, by, by + 1s });
  }
  cr_assert(Has(Check(configuration), "drains"));
}

Test(configuration, differences_name_the_fields)
{
  const auto old = tests::Example("tussock");
  auto changed = old;
  changed.mServices[0].mTargets[2].mSlots = 9;
  const auto list = Differences(old, changed);
  cr_assert_eq(list.size(), 1U);
  cr_assert_eq(list[0], "services[0].targets[2].slots: 3 -> 9");
}

Test(configuration, the_change_identity_follows_the_content)
{
  auto configuration = tests::Example("tussock");
  const auto id = ContentId(configuration);
  cr_assert_eq(id, configuration.mChangeId);
  configuration.mLookupTtl = 9s;
  cr_assert_neq(ContentId(configuration), id);
}
