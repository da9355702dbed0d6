#include "json_split.hpp"

#include <criterion/criterion.h>

#include <string>

using namespace guavaline::platform;

Test(json_split, fields_and_elements_are_told_apart)
{
  const auto fields = SplitObject(
    R"( {"a": {"x": [1, "}"]}, "b" :"\"]", "c":-1.5e3,"d":[] , "e":null} )");
  cr_assert(fields);
  cr_assert_eq(fields->size(), 5U);
  cr_assert_eq(FindField(*fields, "a"), R"({"x": [1, "}"]})");
  cr_assert_eq(FindField(*fields, "b"), R"("\"]")");
  cr_assert_eq(FindField(*fields, "c"), "-1.5e3");
  cr_assert_eq(FindField(*fields, "d"), "[]");
  cr_assert_eq(FindField(*fields, "e"), "null");
  cr_assert(FindField(*fields, "f").empty());
  const auto elements = SplitArray(R"([1,{"a":[2]}, "x,y" ])");
  cr_assert(elements);
  cr_assert_eq(elements->size(), 3U);
  cr_assert_eq(elements->at(1), R"({"a":[2]})");
  cr_assert(SplitArray("[]")->empty());
  cr_assert(SplitObject("{ }")->empty());
}

Test(json_split, values_of_any_depth_are_passed_over)
{
  const std::string deep =
    std::string(100'000, '[') + std::string(100'000, ']');
  const auto text = "[1," + deep + ",2]";
  const auto elements = SplitArray(text);
  cr_assert(elements);
  cr_assert_eq(elements->at(1).size(), deep.size());
  cr_assert_eq(elements->at(2), "2");
}

Test(json_split, what_is_no_object_or_list_is_refused)
{
  for (const auto* it :
       { "", "{", "}", "[1", "{\"a\"}", "{\"a\":}", "{\"a\":1,}", "{a:1}",
         "{\"a\":1}x", "{\"a\":\"", "{\"a\":[1}", "nothing" }) {
    cr_assert_not(SplitObject(it), "%s", it);
  }
  for (const auto* it : { "", "[", "[1", "[1,]", "[,1]", "[]]", "{}" }) {
    cr_assert_not(SplitArray(it), "%s", it);
  }
}
