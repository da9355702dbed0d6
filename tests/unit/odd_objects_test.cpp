/// Objects of other writers among those that entries follow.

#include "following_entries.hpp"

using namespace guavaline;
using namespace guavaline::detail;
using namespace std::chrono_literals;
using tests::Serves;
using tests::TargetObject;

namespace json = boost::json;

namespace {

/// @returns lists within lists, deeper than parsers go
json::value Deep()
{
  json::value out;
  for (int n = 0; n < 200; ++n) {
    out = json::array{ std::move(out) };
  }
  return out;
}

/// @returns what a target may say, but for one field
json::value TargetWith(const char* aField, json::value aValue)
{
  auto out = TargetObject("ready", 1);
  out.as_object()[aField] = std::move(aValue);
  return out;
}

/// @returns the odd objects by name
std::vector<std::pair<std::string, json::value>> OddObjects()
{
  auto slots = TargetObject("ready", 1);
  slots.as_object()["info"].as_object()["slots"] = 4294967296;
  return { { "deep", TargetWith("more", Deep()) },
           { "bytes", TargetWith("more", "\xff\xfe") },
           { "port", TargetWith("address", "127.0.0.1:99999") },
           { "slots", slots },
           { "number", 17 },
           { "null", nullptr } };
}

} // namespace

// Guards against one odd object that costs the whole listing: entries held an
// empty view, or followed no change any more.
Test(odd_objects, an_odd_registration_costs_itself_alone, .timeout = 60)
{
  for (const auto& odd : OddObjects()) {
    const auto& name = odd.first;
    tests::FollowingEntries entries;
    entries.Store().Put("servers", name, odd.second);
    entries.Store().Put("servers", "t2", TargetObject("ready", 20));
    cr_assert(entries.Await(
                [](Entry& a) { return Serves(a, "t1") && Serves(a, "t2"); }),
              "%s", name.c_str());
    cr_assert(
      entries.Holds([&](Entry& a) { return !Serves(a, name.c_str()); }, 100ms));
    // Entries that list anew see the same.
    entries.Store().DropHistory();
    entries.Store().Remove("servers", "t1");
    cr_assert(entries.Await(
                [](Entry& a) { return !Serves(a, "t1") && Serves(a, "t2"); }),
              "%s", name.c_str());
  }
}

// An object whose name cannot be read names nothing to use or to remove.
Test(odd_objects, a_name_that_cannot_be_read_costs_itself_alone, .timeout = 60)
{
  tests::FollowingEntries entries;
  entries.Store().Put("servers", "\xff", TargetObject("ready", 5));
  entries.Store().Put("servers", "t2", TargetObject("ready", 20));
  cr_assert(entries.Await([](Entry& a) { return Serves(a, "t2"); }));
  cr_assert(entries.Holds([](Entry& a) { return Serves(a, "t1"); }, 500ms));
}
