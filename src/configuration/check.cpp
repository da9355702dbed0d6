#include <guavaline/configuration/check.hpp>

#include <map>
#include <set>

namespace guavaline {
namespace {

constexpr std::uint32_t kMaxSlots = 1000;
constexpr double kMaxPercent = 100;

class Checker
{
public:
  explicit Checker(const Configuration& aConfiguration)
    : mConfiguration(aConfiguration)
  {
  }

  Problems Run()
  {
    CheckRegions();
    CheckLinks();
    CheckEntries();
    CheckServices();
    CheckDrains();
    return std::move(mProblems);
  }

private:
  void Fail(const std::string& aField, const std::string& aFound,
            const std::string& aAllowed)
  {
    mProblems.push_back({ {}, 0, aField, aFound, aAllowed });
  }

  void Once(std::set<std::string>& aSeen, const std::string& aField,
            const std::string& aName)
  {
    if (!aSeen.insert(aName).second) {
      Fail(aField, "\"" + aName + "\" twice", "a name once");
    }
  }

  static std::string At(const char* aList, std::size_t aIndex)
  {
    return std::string(aList) + "[" + std::to_string(aIndex) + "]";
  }

  void CheckRegions()
  {
    if (mConfiguration.mRegions.empty()) {
      Fail("regions", "none", "one or more regions");
    }
    std::set<std::string> domains;
    std::set<std::string> names;
    for (std::size_t n = 0; n < mConfiguration.mRegions.size(); ++n) {
      const auto& it = mConfiguration.mRegions[n];
      const auto path = At("regions", n);
      Once(names, path + ".name", it.mName);
      if (it.mFailureDomains.empty()) {
        Fail(path + ".failure_domains", "none", "one or more failure domains");
      }
      for (const auto& domain : it.mFailureDomains) {
        Once(domains, path + ".failure_domains", domain);
        mRegionOfDomain[domain] = it.mName;
      }
      mRegions.insert(it.mName);
    }
  }

  void CheckPlace(const std::string& aPath, const std::string& aRegion,
                  const std::string& aDomain)
  {
    if (mRegions.count(aRegion) == 0) {
      Fail(aPath + ".region", "\"" + aRegion + "\"", "a region of this file");
      return;
    }
    const auto it = mRegionOfDomain.find(aDomain);
    if (it == mRegionOfDomain.end() || it->second != aRegion) {
      Fail(aPath + ".failure_domain", "\"" + aDomain + "\"",
           "a failure domain of region " + aRegion);
    }
  }

  void CheckLinks()
  {
    for (const auto& from : mRegions) {
      for (const auto& to : mRegions) {
        if (from != to && FindLink(mConfiguration, from, to) == nullptr) {
          Fail("links", "no link from " + from + " to " + to,
               "a link between every two regions, each way");
        }
      }
    }
  }

  void CheckEntries()
  {
    if (mConfiguration.mEntries.empty()) {
      Fail("entries", "none", "one or more entry hosts");
    }
    std::set<std::string> names;
    std::set<std::string> addresses;
    for (std::size_t n = 0; n < mConfiguration.mEntries.size(); ++n) {
      const auto& it = mConfiguration.mEntries[n];
      const auto path = At("entries", n);
      Once(names, path + ".name", it.mName);
      if (it.mName.find('.') != std::string::npos) {
        Fail(path + ".name", "\"" + it.mName + "\"", "a name without a dot");
      }
      Once(addresses, path + ".port",
           it.mAddress + ":" + std::to_string(it.mPort));
      Once(addresses, path + ".peer_port",
           it.mAddress + ":" + std::to_string(it.mPeerPort));
      CheckPlace(path, it.mRegion, it.mFailureDomain);
    }
  }

  void CheckServices()
  {
    if (mConfiguration.mServices.empty()) {
      Fail("services", "none", "one or more services");
    }
    std::set<std::string> names;
    std::set<std::string> targets;
    for (std::size_t n = 0; n < mConfiguration.mServices.size(); ++n) {
      const auto& it = mConfiguration.mServices[n];
      const auto path = At("services", n);
      Once(names, path + ".name", it.mName);
      CheckLimits(path, it);
      for (std::size_t k = 0; k < it.mTargets.size(); ++k) {
        CheckTarget(path + "." + At("targets", k), it.mTargets[k], targets);
      }
    }
    if (!(mConfiguration.mLocalSlotPercent > 0) ||
        mConfiguration.mLocalSlotPercent > kMaxPercent) {
      Fail("local_slot_percent",
           std::to_string(mConfiguration.mLocalSlotPercent),
           "above 0, up to 100");
    }
  }

  void CheckTarget(const std::string& aPath, const Target& aTarget,
                   std::set<std::string>& aSeen)
  {
    Once(aSeen, aPath + ".name", aTarget.mName);
    CheckPlace(aPath, aTarget.mRegion, aTarget.mFailureDomain);
    if (aTarget.mSlots > kMaxSlots) {
      Fail(aPath + ".slots", std::to_string(aTarget.mSlots),
           "from 1 to " + std::to_string(kMaxSlots));
    }
  }

  void CheckLimits(const std::string& aPath, const Service& aService)
  {
    if (aService.mTargets.empty()) {
      Fail(aPath + ".targets", "none", "one or more targets");
    }
    if (!(aService.mShiftCapPercent > 0) ||
        aService.mShiftCapPercent > kMaxPercent) {
      Fail(aPath + ".shift_cap_percent",
           std::to_string(aService.mShiftCapPercent), "above 0, up to 100");
    }
    std::set<std::string> methods;
    for (std::size_t n = 0; n < aService.mClasses.size(); ++n) {
      const auto& it = aService.mClasses[n];
      const auto path = aPath + "." + At("classes", n);
      Once(methods, path + ".method", it.mMethod);
      if (it.mMethod != "GET" && it.mMethod != "POST" && it.mMethod != "PUT" &&
          it.mMethod != "DELETE") {
        Fail(path + ".method", "\"" + it.mMethod + "\"",
             "GET, POST, PUT or DELETE");
      }
    }
    if (methods.empty()) {
      Fail(aPath + ".classes", "none", "one or more request classes");
    }
  }

  void CheckDrains()
  {
    std::set<std::string> names;
    for (std::size_t n = 0; n < mConfiguration.mDrains.size(); ++n) {
      const auto& it = mConfiguration.mDrains[n];
      const auto path = At("drains", n);
      Once(names, path + ".name", it.mName);
      if (!PlaceExists(it)) {
        Fail(path + ".place", "\"" + it.mPlace + "\"",
             "a place of this file that fits the scope");
      }
      if (it.mUntil <= it.mBy) {
        Fail(path + ".until", FormatWallTime(it.mUntil),
             "a time after " + FormatWallTime(it.mBy));
      }
    }
    CheckDrainsLeaveCapacity();
  }

  bool PlaceExists(const Drain& aDrain) const
  {
    switch (aDrain.mScope) {
      case DrainScope::Region:
        return mRegions.count(aDrain.mPlace) > 0;
      case DrainScope::FailureDomain:
        return mRegionOfDomain.count(aDrain.mPlace) > 0;
      case DrainScope::Entry:
        return FindEntry(mConfiguration, aDrain.mPlace) != nullptr;
      case DrainScope::Target:
        for (const auto& service : mConfiguration.mServices) {
          for (const auto& it : service.mTargets) {
            if (it.mName == aDrain.mPlace) {
              return true;
            }
          }
        }
        return false;
    }
    return false;
  }

  void CheckDrainsLeaveCapacity()
  {
    std::set<std::string> drained;
    for (const auto& it : mConfiguration.mDrains) {
      if (it.mScope == DrainScope::Region) {
        drained.insert(it.mPlace);
      }
    }
    if (!drained.empty() && drained.size() >= mRegions.size()) {
      Fail("drains", "drains of every region",
           "drains that leave one region or more");
    }
  }

  const Configuration& mConfiguration;
  Problems mProblems;
  std::set<std::string> mRegions;
  std::map<std::string, std::string> mRegionOfDomain;
};

} // namespace

Problems Check(const Configuration& aConfiguration)
{
  return Checker(aConfiguration).Run();
}

} // namespace guavaline
