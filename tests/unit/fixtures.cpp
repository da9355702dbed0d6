#include "fixtures.hpp"

#include <fstream>
#include <sstream>
#include <stdexcept>

namespace guavaline::tests {

std::string ReadRepositoryFile(const std::string& aPath)
{
  const std::ifstream in(std::string(GUAVALINE_ROOT) + "/" + aPath);
  std::ostringstream buf;
  buf << in.rdbuf();
  return buf.str();
}

Configuration Example(const std::string& aName)
{
  Answers answers;
  const auto problems = ReadAnswers(
    aName, ReadRepositoryFile("examples/" + aName + ".yaml"), answers);
  if (!problems.empty()) {
    throw std::runtime_error(problems.front().Describe());
  }
  return Generate(answers);
}

detail::EntrySettings EntrySettingsOf(const std::string& aName)
{
  detail::EntrySettings out;
  out.mName = aName;
  out.mFailureDomain = "d1";
  out.mRegion = "r1";
  out.mDomains = { { "d1", "r1" } };
  return out;
}

detail::Settings DaemonSettings()
{
  detail::Settings out;
  out.mName = "e1";
  out.mAddress = "127.0.0.1";
  out.mStore = "127.0.0.1:1";
  return out;
}

Service OneRegionService(std::uint32_t aTargets, std::uint32_t aSlots)
{
  Service out;
  out.mName = "s";
  out.mShiftCapPercent = 10;
  for (std::uint32_t n = 0; n < aTargets; ++n) {
    Target target;
    target.mName = "t" + std::to_string(n);
    target.mRegion = "r1";
    target.mSlots = aSlots;
    out.mTargets.push_back(std::move(target));
  }
  return out;
}

} // namespace guavaline::tests
