#include <guavaline/attempts/attempts.hpp>

#include <array>
#include <charconv>
#include <string_view>

namespace guavaline {
namespace {

constexpr std::uint32_t kPeriodsPerRetention = 4;
constexpr std::size_t kLongestIdentity = 200;
constexpr int kHexBase = 16;

template<class T>
bool ReadHex(std::string_view aText, T& aOut)
{
  const auto* end = aText.data() + aText.size();
  const auto result = std::from_chars(aText.data(), end, aOut, kHexBase);
  return result.ec == std::errc{} && result.ptr == end && !aText.empty();
}

std::string Hex(std::uint64_t aValue)
{
  std::array<char, kHexBase> buf{};
  const auto result =
    std::to_chars(buf.data(), buf.data() + buf.size(), aValue, kHexBase);
  return { buf.data(), result.ptr };
}

bool IsUniqueChar(char aChar)
{
  return (aChar >= 'a' && aChar <= 'z') || (aChar >= 'A' && aChar <= 'Z') ||
         (aChar >= '0' && aChar <= '9') || aChar == '-' || aChar == '_';
}

Millis PeriodLength(const AttemptTable& aTable)
{
  return aTable.mRetention / kPeriodsPerRetention;
}

std::uint32_t PeriodAt(const AttemptTable& aTable, TimePoint aNow)
{
  return static_cast<std::uint32_t>((aNow - aTable.mStarted) /
                                    PeriodLength(aTable));
}

/// An issuer remembers each identity for as long as it is current, so one
/// that it does not know has never run.
bool IsCurrent(const AttemptTable& aTable, const Identity& aIdentity,
               TimePoint aNow)
{
  const auto period = PeriodAt(aTable, aNow);
  return aIdentity.mPeriod <= period &&
         period - aIdentity.mPeriod < kPeriodsPerRetention;
}

TimePoint KeepUntil(const AttemptTable& aTable, TimePoint aNow)
{
  return aNow + aTable.mRetention + PeriodLength(aTable);
}

AdmitDecision DecideKnown(Attempt& aAttempt)
{
  switch (aAttempt.mState) {
    case AttemptState::Held:
      return { AdmitAction::Run, {}, {} };
    case AttemptState::Done:
      return { AdmitAction::Replay, aAttempt.mOutcome, {} };
    case AttemptState::Unknown:
      return { AdmitAction::Unknown, {}, {} };
    case AttemptState::Moved:
      aAttempt.mState = AttemptState::Resolving;
      return { AdmitAction::Ask, {}, aAttempt.mHolder };
    case AttemptState::Resolving:
    case AttemptState::Running:
      return { AdmitAction::Join, {}, {} };
  }
  return { AdmitAction::Unknown, {}, {} };
}

ResolveAnswer MoveTo(Attempt& aAttempt, const Incarnation& aAsker)
{
  aAttempt.mState = AttemptState::Moved;
  aAttempt.mHolder = aAsker;
  return { ResolveVerdict::Yours, {}, aAsker };
}

ResolveAnswer ResolveKnown(Attempt& aAttempt, const Incarnation& aAsker)
{
  switch (aAttempt.mState) {
    case AttemptState::Held:
      return MoveTo(aAttempt, aAsker);
    case AttemptState::Done:
      return { ResolveVerdict::Done, aAttempt.mOutcome, {} };
    case AttemptState::Moved:
      if (aAttempt.mHolder == aAsker) {
        return { ResolveVerdict::Yours, {}, aAsker };
      }
      return { ResolveVerdict::HeldBy, {}, aAttempt.mHolder };
    case AttemptState::Resolving:
    case AttemptState::Running:
      return { ResolveVerdict::Busy, {}, {} };
    case AttemptState::Unknown:
      return { ResolveVerdict::Unknown, {}, {} };
  }
  return { ResolveVerdict::Unknown, {}, {} };
}

Attempt* Find(AttemptTable& aTable, const std::string& aIdentity)
{
  const auto it = aTable.mAttempts.find(aIdentity);
  return it == aTable.mAttempts.end() ? nullptr : &it->second;
}

} // namespace

std::optional<Identity> ParseIdentity(const std::string& aText)
{
  const std::string_view text(aText);
  const auto first = text.find('.');
  if (text.size() > kLongestIdentity || first == std::string_view::npos) {
    return std::nullopt;
  }
  const auto second = text.find('.', first + 1);
  if (second == std::string_view::npos) {
    return std::nullopt;
  }
  const auto third = text.find('.', second + 1);
  if (third == std::string_view::npos) {
    return std::nullopt;
  }
  Identity out;
  out.mIssuer.mEntry = text.substr(0, first);
  out.mUnique = text.substr(third + 1);
  const bool numbers =
    ReadHex(text.substr(first + 1, second - first - 1), out.mIssuer.mNumber) &&
    ReadHex(text.substr(second + 1, third - second - 1), out.mPeriod);
  if (!numbers || out.mIssuer.mEntry.empty() || out.mUnique.empty()) {
    return std::nullopt;
  }
  for (const char it : out.mUnique) {
    if (!IsUniqueChar(it)) {
      return std::nullopt;
    }
  }
  return out;
}

AttemptTable MakeAttemptTable(Incarnation aSelf, Millis aRetention,
                              TimePoint aNow)
{
  AttemptTable out;
  out.mSelf = std::move(aSelf);
  out.mStarted = aNow;
  out.mRetention = aRetention;
  return out;
}

std::string IdentityPrefix(const AttemptTable& aTable, TimePoint aNow)
{
  return aTable.mSelf.mEntry + "." + Hex(aTable.mSelf.mNumber) + "." +
         Hex(PeriodAt(aTable, aNow)) + ".";
}

AdmitDecision Admit(AttemptTable& aTable, const std::string& aIdentity,
                    std::uint64_t aDigest, TimePoint aNow)
{
  const auto identity = ParseIdentity(aIdentity);
  if (!identity) {
    return { AdmitAction::Malformed, {}, {} };
  }
  if (auto* known = Find(aTable, aIdentity)) {
    if (known->mDigest != 0 && known->mDigest != aDigest) {
      return { AdmitAction::Reused, {}, {} };
    }
    known->mDigest = aDigest;
    return DecideKnown(*known);
  }
  const bool own = identity->mIssuer == aTable.mSelf;
  if (own && !IsCurrent(aTable, *identity, aNow)) {
    return { AdmitAction::Unknown, {}, {} };
  }
  if (!own && identity->mIssuer.mEntry == aTable.mSelf.mEntry) {
    // Issued by an earlier life of this entry, whose memory is lost.
    return { AdmitAction::Unknown, {}, {} };
  }
  if (aTable.mAttempts.size() >= aTable.mMaxAttempts) {
    return { AdmitAction::Full, {}, {} };
  }
  auto& attempt = aTable.mAttempts[aIdentity];
  attempt.mKeepUntil = KeepUntil(aTable, aNow);
  attempt.mDigest = aDigest;
  if (own) {
    attempt.mState = AttemptState::Held;
    return { AdmitAction::Run, {}, {} };
  }
  attempt.mState = AttemptState::Resolving;
  return { AdmitAction::Ask, {}, identity->mIssuer };
}

bool IsHeld(const AttemptTable& aTable, const std::string& aIdentity)
{
  const auto it = aTable.mAttempts.find(aIdentity);
  return it != aTable.mAttempts.end() &&
         it->second.mState == AttemptState::Held;
}

bool StartRun(AttemptTable& aTable, const std::string& aIdentity)
{
  auto* attempt = Find(aTable, aIdentity);
  if (attempt == nullptr || attempt->mState != AttemptState::Held) {
    return false;
  }
  attempt->mState = AttemptState::Running;
  return true;
}

void FinishRun(AttemptTable& aTable, const std::string& aIdentity,
               Outcome aOutcome)
{
  if (auto* attempt = Find(aTable, aIdentity)) {
    attempt->mState = AttemptState::Done;
    attempt->mOutcome = std::move(aOutcome);
  }
}

void FinishUnknown(AttemptTable& aTable, const std::string& aIdentity)
{
  if (auto* attempt = Find(aTable, aIdentity)) {
    attempt->mState = AttemptState::Unknown;
  }
}

void FinishNotRun(AttemptTable& aTable, const std::string& aIdentity)
{
  if (auto* attempt = Find(aTable, aIdentity)) {
    attempt->mState = AttemptState::Held;
  }
}

ResolveAnswer Resolve(AttemptTable& aTable, const std::string& aIdentity,
                      const Incarnation& aAsked, const Incarnation& aAsker,
                      TimePoint aNow)
{
  const auto identity = ParseIdentity(aIdentity);
  if (!identity || !(aAsked == aTable.mSelf)) {
    // An earlier life of this entry was meant: its memory is lost.
    return { ResolveVerdict::Unknown, {}, {} };
  }
  if (auto* known = Find(aTable, aIdentity)) {
    return ResolveKnown(*known, aAsker);
  }
  const bool own = identity->mIssuer == aTable.mSelf;
  const bool full = aTable.mAttempts.size() >= aTable.mMaxAttempts;
  if (full || (own && !IsCurrent(aTable, *identity, aNow))) {
    return { ResolveVerdict::Unknown, {}, {} };
  }
  auto& attempt = aTable.mAttempts[aIdentity];
  attempt.mKeepUntil = KeepUntil(aTable, aNow);
  return MoveTo(attempt, aAsker);
}

AdmitDecision TakeAnswer(AttemptTable& aTable, const std::string& aIdentity,
                         const ResolveAnswer& aAnswer)
{
  auto* attempt = Find(aTable, aIdentity);
  if (attempt == nullptr || attempt->mState != AttemptState::Resolving) {
    return { AdmitAction::Unknown, {}, {} };
  }
  switch (aAnswer.mVerdict) {
    case ResolveVerdict::Yours:
      attempt->mState = AttemptState::Held;
      return { AdmitAction::Run, {}, {} };
    case ResolveVerdict::Done:
      attempt->mState = AttemptState::Done;
      attempt->mOutcome = aAnswer.mOutcome;
      return { AdmitAction::Replay, aAnswer.mOutcome, {} };
    case ResolveVerdict::HeldBy:
      if (aAnswer.mHolder == aTable.mSelf) {
        AbandonAsk(aTable, aIdentity);
        return { AdmitAction::Unknown, {}, {} };
      }
      return { AdmitAction::Ask, {}, aAnswer.mHolder };
    case ResolveVerdict::Busy:
    case ResolveVerdict::Unknown:
      AbandonAsk(aTable, aIdentity);
      return { AdmitAction::Unknown, {}, {} };
  }
  return { AdmitAction::Unknown, {}, {} };
}

void AbandonAsk(AttemptTable& aTable, const std::string& aIdentity)
{
  auto* attempt = Find(aTable, aIdentity);
  if (attempt == nullptr || attempt->mState != AttemptState::Resolving) {
    return;
  }
  if (attempt->mHolder.mEntry.empty()) {
    // Never held here: the issuer is asked again next time.
    aTable.mAttempts.erase(aIdentity);
    return;
  }
  attempt->mState = AttemptState::Moved;
}

void ForgetOld(AttemptTable& aTable, TimePoint aNow)
{
  std::erase_if(aTable.mAttempts, [aNow](const auto& a) {
    return a.second.mKeepUntil <= aNow &&
           a.second.mState != AttemptState::Running;
  });
}

} // namespace guavaline
