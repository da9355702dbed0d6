#include <guavaline/configuration/questionnaire.hpp>
#include <guavaline/core/hash.hpp>

#include "codec/yaml.hpp"
#include "configuration/describe.hpp"

namespace guavaline {
namespace {

/// Short-lived look-ups let a stopping entry go sooner.
constexpr Millis kTtlForDrainTime{ 2'000 };
/// More slots near their callers spare them the way to another region.
constexpr double kLocalSlotsForLatency = 80;
constexpr Millis kShiftWindow{ 60'000 };

std::vector<Link> MakeLinks(const Answers& aAnswers)
{
  std::vector<Link> out;
  for (const auto& from : aAnswers.mRegions) {
    for (const auto& to : aAnswers.mRegions) {
      if (from.mName != to.mName) {
        out.push_back({ from.mName, to.mName,
                        aAnswers.mBetweenRegions.mOneWayDelay,
                        aAnswers.mBetweenRegions.mCapacity });
      }
    }
  }
  return out;
}

std::vector<RequestClass> MakeClasses(const ServiceAnswer& aService)
{
  return {
    { "confirm", "POST", false, aService.mConfirmWithin, 1 },
    { "check", "GET", true, aService.mCheckWithin, 2 },
    { "upload", "PUT", true, aService.mUploadWithin, 3 },
  };
}

std::vector<Target> MakeTargets(const ServiceAnswer& aService)
{
  std::vector<Target> out;
  for (const auto& group : aService.mTargetGroups) {
    for (std::uint32_t n = 0; n < group.mCount; ++n) {
      const auto port = static_cast<std::uint16_t>(group.mFirstPort + n);
      const auto name = aService.mName + "-" + group.mFailureDomain + "-" +
                        std::to_string(n + 1);
      out.push_back({ name, group.mAddress, port, group.mRegion,
                      group.mFailureDomain, aService.mSlotsPerTarget });
    }
  }
  return out;
}

std::string CommentOf(const std::string& aPath)
{
  static const std::map<std::string, std::string> kComments{
    { "change_id", "Identity of this change; the same answers give the same." },
    { "lookup_ttl", "How long callers may keep a look-up answer." },
    { "identity_retention",
      "How long the outcome of a confirmation is remembered." },
    { "slot_quarantine",
      "How long a started entry waits before it uses its own slots." },
    { "local_slot_percent",
      "Part of a region's slots that its own entries hold." },
    { "regions", "Regions and their failure domains." },
    { "links", "Paths between regions, each one way." },
    { "entries", "Hosts that run guavalined." },
    { "services", "Services with their limits and targets." },
    { "drains", "Planned work: each place is empty by its time." },
  };
  const auto it = kComments.find(aPath);
  return it == kComments.end() ? std::string() : it->second;
}

void CompareValues(const std::string& aPath, const boost::json::value& aOld,
                   const boost::json::value& aNew,
                   std::vector<std::string>& aOut)
{
  if (aOld == aNew) {
    return;
  }
  if (aOld.is_object() && aNew.is_object()) {
    boost::json::object all = aOld.get_object();
    for (const auto& [key, value] : aNew.get_object()) {
      all.emplace(key, value);
    }
    for (const auto& [key, value] : all) {
      const auto* before = aOld.get_object().if_contains(key);
      const auto* after = aNew.get_object().if_contains(key);
      const auto path =
        aPath.empty() ? std::string(key) : aPath + "." + std::string(key);
      CompareValues(path, before != nullptr ? *before : nullptr,
                    after != nullptr ? *after : nullptr, aOut);
    }
    return;
  }
  if (aOld.is_array() && aNew.is_array()) {
    const auto& before = aOld.get_array();
    const auto& after = aNew.get_array();
    for (std::size_t n = 0; n < std::max(before.size(), after.size()); ++n) {
      CompareValues(aPath + "[" + std::to_string(n) + "]",
                    n < before.size() ? before[n] : nullptr,
                    n < after.size() ? after[n] : nullptr, aOut);
    }
    return;
  }
  aOut.push_back(aPath + ": " + detail::Reader::Show(aOld) + " -> " +
                 detail::Reader::Show(aNew));
}

} // namespace

Problems ReadAnswers(const std::string& aFile, const std::string& aText,
                     Answers& aOut)
{
  return detail::FromYaml(aFile, aText, aOut);
}

Configuration Generate(const Answers& aAnswers)
{
  Configuration out;
  out.mDeployment = aAnswers.mDeployment;
  out.mRegions = aAnswers.mRegions;
  out.mLinks = MakeLinks(aAnswers);
  out.mEntries = aAnswers.mEntries;
  if (aAnswers.mMattersMost == Weight::DrainTime) {
    out.mLookupTtl = kTtlForDrainTime;
  } else {
    out.mLocalSlotPercent = kLocalSlotsForLatency;
  }
  for (const auto& it : aAnswers.mServices) {
    Service service;
    service.mName = it.mName;
    service.mShiftCapPercent = it.mShiftPercentPerMinute;
    service.mShiftCapWindow = kShiftWindow;
    service.mWarmUp = it.mWarmUp;
    service.mClasses = MakeClasses(it);
    service.mTargets = MakeTargets(it);
    out.mServices.push_back(std::move(service));
  }
  out.mChangeId = ContentId(out);
  return out;
}

std::string ContentId(const Configuration& aConfiguration)
{
  auto content = aConfiguration;
  content.mChangeId.clear();
  return HexId(Hash(detail::ToJson(content)));
}

std::string ToYaml(const Configuration& aConfiguration)
{
  return detail::EmitYaml(detail::Write(aConfiguration), CommentOf);
}

Problems ReadConfiguration(const std::string& aFile, const std::string& aText,
                           Configuration& aOut)
{
  return detail::FromYaml(aFile, aText, aOut);
}

std::string ToStored(const Configuration& aConfiguration)
{
  return detail::ToJson(aConfiguration);
}

Problems FromStored(const std::string& aText, Configuration& aOut)
{
  return detail::FromJson(aText, aOut);
}

std::vector<std::string> Differences(const Configuration& aOld,
                                     const Configuration& aNew)
{
  std::vector<std::string> out;
  CompareValues({}, detail::Write(aOld), detail::Write(aNew), out);
  return out;
}

} // namespace guavaline
