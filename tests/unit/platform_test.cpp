#include "objects.hpp"
#include "settings.hpp"

#include <criterion/criterion.h>

#include <algorithm>

using namespace guavaline;
using namespace guavaline::platform;
using namespace std::chrono_literals;

namespace {

constexpr const char* kSettings =
  "node=edge-lowell-a-1\n"
  "ip=10.1.0.10\n"
  "zone=lowell-a\n"
  "region=lowell\n"
  "zones.lowell-a=lowell\n"
  "zones.portland-a=portland\n"
  "listen.front=10.1.0.10:8161\n"
  "listen.ready=10.1.0.10:8167\n"
  "listen.directory=10.1.0.10:8164\n"
  "internal_port_range=7720,7735\n"
  "limits.max_fds=4100\n"
  "limits.cpu_share=0.1\n"
  "limits.cores=2\n"
  "limits.link_mbps=1000.0\n"
  "bounds=drain=2500ms,config=4s,grace=6s,cold_over=1.5,new_bound=true\n"
  "a.field.to.come=1\n"
  "platform.address=10.200.1.7:8169\n";

ObjectChange MakeObject(std::string aSpec)
{
  return { "i-7f3a91c2", 12, false, std::move(aSpec) };
}

std::string With(std::string aText, const std::string& aOld,
                 const std::string& aNew)
{
  return aText.replace(aText.find(aOld), aOld.size(), aNew);
}

constexpr const char* kTarget =
  R"({"address":"10.128.0.9:8080","born":1700000000123,)"
  R"("info":{"service":"huvo11a","version":"v1","zone":"lowell-a","slots":6},)"
  R"("status":{"state":"ready","sequence":4,"cold_remaining":"1500ms"}})";

constexpr const char* kConfiguration =
  R"({"version":"0000001a","resources":[)"
  R"({"resource_type":"routes","metadata":{"name":"r-1"},"spec":{)"
  R"("host":"a.example","path_prefix":"/x/","type":"idempotent",)"
  R"("timeout":"2000ms","target_latency":"500ms","priority":2,)"
  R"("weighted_services":[{"service":"s1","weight":90},)"
  R"({"service":"s2","weight":10}],"max_attempts":2,"sticky":true,)"
  R"("allowed_regions":["lowell"]}},)"
  R"({"resource_type":"routes","metadata":{"name":"r-2"},"spec":{)"
  R"("host":"a.example","path_prefix":"/y/","type":"later_kind",)"
  R"("service":"s2","max_attempts":2}},)"
  R"({"resource_type":"services","metadata":{"name":"s1"},"spec":{)"
  R"("max_connections":390,"cold_per_s":6.9}},)"
  R"({"resource_type":"limits","metadata":{},"spec":{)"
  R"("max_header_bytes":8192,"idle_timeout":"15s"}}]})";

} // namespace

Test(platform, settings_are_read_and_unknown_fields_ignored)
{
  detail::EntrySettings settings;
  cr_assert(ParseSettings("node.conf", kSettings, 9464, settings).empty());
  cr_assert_eq(settings.mName, "edge-lowell-a-1");
  cr_assert_eq(settings.mFailureDomain, "lowell-a");
  cr_assert_eq(settings.mDomains.at("portland-a"), "portland");
  cr_assert_eq(settings.mCallers.mPort, 8161);
  cr_assert_eq(settings.mPeers.mPort, 7720);
  cr_assert_eq(settings.mMetrics.mPort, 9464);
  cr_assert_eq(settings.mBounds.mRoutingAge, 4s);
  cr_assert_eq(settings.mBounds.mTargetAge, 2500ms);
  cr_assert_eq(settings.mLimits.mMaxDescriptors, 4'100U);
  cr_assert_float_eq(settings.mLimits.mCores, 0.2, 1e-9);
  cr_assert_float_eq(settings.mLimits.mLinkMegabits, 1'000, 1e-9);
}

Test(platform, settings_may_have_fractions_and_empty_optional_fields)
{
  // A change of the settings to "2.5s" let no process start again.
  detail::EntrySettings settings;
  auto text = With(kSettings, "drain=2500ms", "drain=2.5s,evac=");
  text = With(text, "max_fds=4100", "max_fds=4100.0");
  text = With(text, "limits.cores=2", "limits.cores=");
  const auto problems = ParseSettings("node.conf", text, 9464, settings);
  cr_assert(problems.empty(), "%s",
            problems.empty() ? "" : problems[0].Describe().c_str());
  cr_assert_eq(settings.mBounds.mTargetAge, 2500ms);
  cr_assert_eq(settings.mBounds.mEvacuationAge, 5s);
  cr_assert_eq(settings.mLimits.mMaxDescriptors, 4'100U);
  text = With(kSettings, "max_fds=4100", "max_fds=-1");
  cr_assert_eq(ParseSettings("node.conf", text, 0, settings).size(), 1U);
}

Test(platform, a_problem_names_file_line_and_field)
{
  detail::EntrySettings settings;
  const auto text =
    With(kSettings, "listen.ready=10.1.0.10:8167", "listen.ready=somewhere");
  const auto problems = ParseSettings("node.conf", text, 0, settings);
  cr_assert_eq(problems.size(), 1U);
  cr_assert_eq(problems[0].mFile, "node.conf");
  cr_assert_eq(problems[0].mLine, 8);
  cr_assert_eq(problems[0].mField, "listen.ready");
  cr_assert_eq(problems[0].mFound, "somewhere");
}

Test(platform, missing_and_mistyped_settings_are_all_told)
{
  detail::EntrySettings settings;
  const auto problems = ParseSettings(
    "node.conf", "node=a\nbounds=drain=soon\nlimits.max_fds=many\n", 0,
    settings);
  const auto names = [&](const std::string& a) {
    return std::any_of(problems.begin(), problems.end(),
                       [&](const Problem& b) { return b.mField == a; });
  };
  cr_assert(names("zone") && names("listen.front") &&
            names("platform.address"));
  cr_assert(names("bounds.drain") && names("limits.max_fds"));
}

Test(platform, a_target_is_read)
{
  const auto target = ReadTarget(MakeObject(kTarget));
  cr_assert(target.has_value());
  cr_assert_eq(target->mId, "i-7f3a91c2");
  cr_assert_eq(target->mService, "huvo11a");
  cr_assert_eq(target->mFailureDomain, "lowell-a");
  cr_assert_eq(target->mSlots, 6U);
  cr_assert_eq(target->mStarted, 1700000000123);
  cr_assert_eq(target->mColdLeft, 1500ms);
  cr_assert_not(target->mDraining);
}

Test(platform, a_cold_time_with_a_fraction_is_no_warm_target)
{
  // It was read as none, and the target got full traffic.
  const std::string text(kTarget);
  const auto cold = [&](const std::string& aTime) {
    return ReadTarget(MakeObject(With(text, "1500ms", aTime)))->mColdLeft;
  };
  cr_assert_eq(cold("2.5s"), 2'500ms);
  cr_assert_eq(cold(""), 0ms);
}

Test(platform, an_object_of_another_writer_names_no_target)
{
  const std::string text(kTarget);
  for (const auto& it :
       { std::string("not json"), std::string("[]"), std::string("{}"),
         With(text, "\"ready\"", "\"resting\""), With(text, "6}", "\"6\"}"),
         With(text, "6}", "-1}"), With(text, "1500ms", "soon"),
         With(text, "\"1500ms\"", "1500"),
         With(text, "10.128.0.9:8080", "nowhere"),
         With(text, "\"zone\":\"lowell-a\"", "\"zone\":7") }) {
    cr_assert_not(ReadTarget(MakeObject(it)).has_value(), "%s", it.c_str());
  }
}

Test(platform, a_configuration_is_read)
{
  const auto table = ReadRouting(MakeObject(kConfiguration));
  cr_assert(table.has_value());
  cr_assert_eq(table->mVersion, 0x1aU);
  const auto& route = table->mRoutes.at(0);
  cr_assert_eq(route.mKind, RequestKind::Idempotent);
  cr_assert_eq(route.mTimeout, 2s);
  cr_assert_eq(route.mServices.size(), 2U);
  cr_assert_eq(route.mMaxTargets, 2U);
  cr_assert(route.mAffinity);
  cr_assert_eq(route.mRegions.at(0), "lowell");
  // A kind that is not known must not be repeated.
  cr_assert_eq(table->mRoutes.at(1).mKind, RequestKind::NonIdempotent);
  cr_assert_eq(table->mServices.at("s1").mColdRate, 6.9);
  cr_assert_eq(table->mLimits.mMaxHeaderBytes, 8'192U);
  cr_assert_eq(table->mLimits.mIdleTimeout, 15s);
}

Test(platform, times_and_limits_of_a_configuration_may_have_any_allowed_value)
{
  // A time-out of "1.5s" was read as none.
  const std::string text(kConfiguration);
  auto table = ReadRouting(MakeObject(With(text, "2000ms", "1.5s")));
  cr_assert_eq(table->mRoutes.at(0).mTimeout, 1'500ms);
  table = ReadRouting(MakeObject(With(text, ":8192", ":4294967296")));
  cr_assert_gt(table->mLimits.mMaxHeaderBytes, 8'192U);
}

Test(platform, a_configuration_that_cannot_be_read_whole_is_not_taken)
{
  const std::string text(kConfiguration);
  cr_assert_not(ReadRouting(MakeObject("{}")).has_value());
  cr_assert_not(
    ReadRouting(MakeObject(With(text, "0000001a", "xyz"))).has_value());
  cr_assert_not(
    ReadRouting(MakeObject(With(text, "\"/x/\"", "7"))).has_value());
}

namespace {

constexpr const char* kAccounts =
  R"({"version":"0000001b","resources":[)"
  R"({"resource_type":"routes","metadata":{"name":"r-1"},"spec":{)"
  R"("host":"a.example","path_prefix":"/x/","service":"s1","public":true}},)"
  R"({"resource_type":"tenants","metadata":{"name":"plain"},"spec":{)"
  R"("api_keys":[],"priority":null}},)"
  R"({"resource_type":"tenants","metadata":{"name":"acme"},"spec":{)"
  R"("api_keys":["k1","k2"],"priority":0,"requests_per_s":12.5,"burst":40,)"
  R"("allowed_regions":["lowell"]}}]})";

} // namespace

Test(platform, client_accounts_and_public_routes_are_read)
{
  const auto table = ReadRouting(MakeObject(kAccounts));
  cr_assert(table.has_value());
  cr_assert(table->mRoutes.at(0).mPublic);
  cr_assert_eq(table->mAccounts.size(), 2U);
  const auto& account = table->mAccounts.at("acme");
  cr_assert_eq(account.mName, "acme");
  cr_assert_eq(account.mKeys, std::vector<std::string>({ "k1", "k2" }));
  cr_assert_eq(account.mPriority, 0U);
  cr_assert_eq(account.mPerSecond, 12.5);
  cr_assert_eq(account.mBurst, 40.0);
  cr_assert_eq(account.mRegions, std::vector<std::string>({ "lowell" }));
  const auto& plain = table->mAccounts.at("plain");
  cr_assert(plain.mKeys.empty() && plain.mRegions.empty());
  cr_assert_not(plain.mPriority.has_value());
  cr_assert_eq(plain.mPerSecond, 0.0);
  // Only true makes a route public.
  const auto text = With(kAccounts, "\"public\":true", "\"public\":\"yes\"");
  cr_assert_not(ReadRouting(MakeObject(text))->mRoutes.at(0).mPublic);
}

// Guards against an account of which a restriction is read as absent, and
// against names that break a header or a metric's label.
Test(platform, an_unreadable_account_makes_the_configuration_unreadable)
{
  const std::string text(kAccounts);
  for (const auto& it :
       { With(text, R"(["k1","k2"])", R"("k1")"), With(text, "\"k2\"", "2"),
         With(text, R"(["lowell"])", R"("lowell")"),
         With(text, R"(["lowell"])", "[null]"), With(text, "12.5", "\"12.5\""),
         With(text, "12.5", "-1"), With(text, "40", "true"),
         With(text, "\"priority\":0", "\"priority\":-1"),
         With(text, "\"priority\":0", "\"priority\":\"0\""),
         With(text, "acme", ""), With(text, "acme", "a\\r\\nb"),
         With(text, "acme", "plain"), With(text, "\"acme\"", "7") }) {
    cr_assert_not(ReadRouting(MakeObject(it)).has_value(), "%s", it.c_str());
  }
}

Test(platform, load_object_and_look_up_are_read)
{
  const auto load = ReadLoad("3,1,8");
  cr_assert(load.has_value());
  cr_assert_eq(load->mWaiting, 1U);
  cr_assert_not(ReadLoad("3,1").has_value());
  cr_assert_not(ReadLoad("").has_value());
  detail::HttpRequest request;
  request.mHeaders = { { "Cookie", "a=b; X-Affinity-Key=17; c=d" } };
  cr_assert_eq(ObjectOf(request), "17");
  request.mTarget = "/resolve?name=a.example&region=lowell&zone=lowell-a";
  cr_assert_eq(ReadLookup(request)->mRegion, "lowell");
  request.mTarget = "/other";
  cr_assert_not(ReadLookup(request).has_value());
}

Test(platform, a_rate_limit_is_a_decimal_number_of_requests_a_second)
{
  cr_assert_eq(ReadRateLimit("1.7"), 1.7);
  cr_assert_eq(ReadRateLimit("12"), 12.0);
  cr_assert_eq(ReadRateLimit("0"), 0.0);
  for (const auto* it : { "", "-1", "nan", "inf", "1.7/s", "1e3", "two" }) {
    cr_assert_not(ReadRateLimit(it).has_value(), "%s", it);
  }
}

Test(platform, an_entry_record_survives_being_written)
{
  EntryRecord record;
  record.mName = "e1";
  record.mIncarnation = 99;
  record.mCallerAddress = "10.0.0.1:80";
  record.mPeerAddress = "10.0.0.1:81";
  record.mPeerKey = "key";
  record.mFailureDomain = "d1";
  record.mRegion = "r1";
  record.mRevision = 5;
  const ObjectChange object{ "e1", 5, false,
                             json::serialize(WriteEntry(record)) };
  cr_assert(ReadEntry(object) == record);
}
