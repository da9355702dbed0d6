#include "operator/interview.hpp"

#include "codec/yaml.hpp"
#include "configuration/describe.hpp"

#include <istream>
#include <ostream>
#include <sstream>

namespace guavaline::detail {
namespace {

constexpr std::uint16_t kDefaultPort = 8080;
constexpr std::uint16_t kDefaultPeerPort = 8081;

/// Ends the questions when the input ends.
struct InputEnded
{
};

class Terminal
{
public:
  Terminal(std::istream& aIn, std::ostream& aOut)
    : mIn(aIn)
    , mOut(aOut)
  {
  }

  /// Asks until the answer can be read as a T.
  template<class T>
  T Ask(const std::string& aQuestion, const T& aDefault)
  {
    const auto shown = Reader::Show(Write(aDefault));
    while (true) {
      const auto line = Line(aQuestion + " [" + shown + "]: ");
      if (line.empty()) {
        return aDefault;
      }
      T out{};
      Reader reader;
      Read(json::value(line), out, reader);
      if (reader.Found().empty()) {
        return out;
      }
      mOut << "  not understood; allowed: " << reader.Found()[0].mAllowed
           << '\n';
    }
  }

  std::vector<std::string> AskNames(const std::string& aQuestion)
  {
    std::vector<std::string> out;
    while (out.empty()) {
      std::istringstream line(Line(aQuestion + ": "));
      std::string name;
      while (line >> name) {
        out.push_back(name);
      }
    }
    return out;
  }

private:
  std::string Line(const std::string& aPrompt)
  {
    mOut << aPrompt << std::flush;
    std::string out;
    if (!std::getline(mIn, out)) {
      throw InputEnded{};
    }
    return out;
  }

  std::istream& mIn;
  std::ostream& mOut;
};

void AskRegions(Terminal& aTerminal, Answers& aOut)
{
  for (const auto& it :
       aTerminal.AskNames("Names of your regions, with blanks between")) {
    aOut.mRegions.push_back(
      { it, aTerminal.AskNames("Failure domains of " + it) });
  }
  if (aOut.mRegions.size() > 1) {
    aOut.mBetweenRegions.mOneWayDelay =
      aTerminal.Ask("One-way delay between regions", Millis(35));
    aOut.mBetweenRegions.mCapacity = aTerminal.Ask(
      "Rate of the link between two regions", BitRate{ 280'000'000 });
  }
}

void AskEntries(Terminal& aTerminal, Answers& aOut)
{
  for (const auto& region : aOut.mRegions) {
    for (const auto& domain : region.mFailureDomains) {
      for (const auto& address :
           aTerminal.AskNames("IP numbers of the entry hosts in " + domain)) {
        EntryHost entry;
        entry.mName = "entry" + std::to_string(aOut.mEntries.size() + 1);
        entry.mAddress = address;
        entry.mPort = kDefaultPort;
        entry.mPeerPort = kDefaultPeerPort;
        entry.mRegion = region.mName;
        entry.mFailureDomain = domain;
        aOut.mEntries.push_back(std::move(entry));
      }
    }
  }
}

ServiceAnswer AskService(Terminal& aTerminal, const Answers& aAnswers,
                         const std::string& aName)
{
  ServiceAnswer out;
  out.mName = aName;
  out.mSlotsPerTarget = aTerminal.Ask("How many requests can one target of " +
                                        aName + " run at once",
                                      std::uint32_t{ 3 });
  out.mCheckWithin =
    aTerminal.Ask("A check must be answered within", out.mCheckWithin);
  out.mConfirmWithin =
    aTerminal.Ask("A confirmation must be answered within", out.mConfirmWithin);
  out.mUploadWithin =
    aTerminal.Ask("An upload must be answered within", out.mUploadWithin);
  out.mShiftPercentPerMinute =
    aTerminal.Ask("Percent of the traffic that may move between regions in "
                  "a minute",
                  out.mShiftPercentPerMinute);
  out.mWarmUp = aTerminal.Ask(
    "Time until a region with cold caches bears full load", out.mWarmUp);
  for (const auto& region : aAnswers.mRegions) {
    for (const auto& domain : region.mFailureDomains) {
      TargetGroup group;
      group.mRegion = region.mName;
      group.mFailureDomain = domain;
      group.mCount =
        aTerminal.Ask("Number of targets in " + domain, std::uint32_t{ 4 });
      group.mAddress =
        aTerminal.Ask("IP number of these targets", std::string("10.0.0.1"));
      group.mFirstPort =
        aTerminal.Ask("Their first port", std::uint16_t{ 9000 });
      out.mTargetGroups.push_back(std::move(group));
    }
  }
  return out;
}

} // namespace

std::optional<Answers> Interview(std::istream& aIn, std::ostream& aOut)
{
  Terminal terminal(aIn, aOut);
  Answers out;
  try {
    out.mDeployment =
      terminal.Ask("Name of this deployment", std::string("bookings"));
    out.mMattersMost =
      terminal.Ask("What matters most, latency or drain_time", Weight::Latency);
    AskRegions(terminal, out);
    AskEntries(terminal, out);
    for (const auto& it :
         terminal.AskNames("Names of your services, with blanks between")) {
      out.mServices.push_back(AskService(terminal, out, it));
    }
  } catch (const InputEnded&) {
    return std::nullopt;
  }
  return out;
}

std::string AnswersYaml(const Answers& aAnswers)
{
  return EmitYaml(Write(aAnswers), [](const std::string&) { return ""; });
}

} // namespace guavaline::detail
