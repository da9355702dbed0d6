#pragma once

/// At most one execution of each non-idempotent request, without a store.
/// An identity names the entry incarnation that issued it. Only the holder
/// of an identity may run it; the issuer holds it first, and a holder that
/// has not run it may move it to another incarnation that asks.

#include <guavaline/core/time.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

namespace guavaline {

/// One life of an entry's process.
struct Incarnation
{
  std::string mEntry;        ///< Name of the entry.
  std::uint64_t mNumber = 0; ///< Random, drawn when the process starts.

  bool operator==(const Incarnation&) const = default;
};

/// Identity of one request, the same each time its caller sends it.
struct Identity
{
  Incarnation mIssuer;
  std::uint32_t mPeriod = 0; ///< When it was issued, in retention quarters.
  std::string mUnique;       ///< The caller's own part.
};

/// Reads "entry.incarnation.period.unique".
/// @returns nothing where the form is another
[[nodiscard]] std::optional<Identity> ParseIdentity(const std::string& aText);

/// The recorded answer to a request that ran.
struct Outcome
{
  unsigned mStatus = 0;
  std::string mContentType;
  std::string mBody;
};

/// What is known of an identity.
enum class AttemptState {
  Resolving = 1, ///< Another entry is being asked for it.
  Held,          ///< May be run here; has not been.
  Running,       ///< Bytes may have reached a target.
  Done,          ///< Ran; the outcome is recorded.
  Unknown,       ///< May have run; no whole answer came.
  Moved,         ///< Another incarnation holds it.
};

struct Attempt
{
  AttemptState mState = AttemptState::Held;
  std::uint64_t mDigest = 0; ///< Of the first request that brought it.
  Outcome mOutcome;          ///< For Done.
  Incarnation mHolder;       ///< For Moved.
  TimePoint mKeepUntil;
};

/// All identities that one incarnation knows of.
struct AttemptTable
{
  Incarnation mSelf;
  TimePoint mStarted;
  Millis mRetention{ 600'000 };
  std::size_t mMaxAttempts = 200'000;
  std::unordered_map<std::string, Attempt> mAttempts;
};

/// Starts an empty table.
[[nodiscard]] AttemptTable MakeAttemptTable(Incarnation aSelf,
                                            Millis aRetention, TimePoint aNow);

/// @returns the prefix that callers put before their own part
[[nodiscard]] std::string IdentityPrefix(const AttemptTable& aTable,
                                         TimePoint aNow);

/// What to do with a request that has arrived.
enum class AdmitAction {
  Run = 1,   ///< Marked Held here: run it.
  Ask,       ///< Marked Resolving: ask mAsk for it.
  Join,      ///< It is running or being resolved: wait for its end.
  Replay,    ///< Answer with mOutcome.
  Unknown,   ///< Answer that it may have run.
  Malformed, ///< The identity cannot be read: it did not run.
  Full,      ///< No room to remember it: it did not run.
  Reused,    ///< Another request has this identity: this one did not run.
};

struct AdmitDecision
{
  AdmitAction mAction = AdmitAction::Malformed;
  Outcome mOutcome;
  Incarnation mAsk;
};

/// Decides on a request that has arrived from a caller.
/// @param aDigest  of the request; a resend has the same
[[nodiscard]] AdmitDecision Admit(AttemptTable& aTable,
                                  const std::string& aIdentity,
                                  std::uint64_t aDigest, TimePoint aNow);

/// @returns true where this incarnation alone may run an identity, and has not
[[nodiscard]] bool IsHeld(const AttemptTable& aTable,
                          const std::string& aIdentity);

/// Marks an identity as running, just before its first byte is sent.
/// @returns false where it is no longer held here and must not be run
[[nodiscard]] bool StartRun(AttemptTable& aTable, const std::string& aIdentity);

/// Records the outcome of a run.
void FinishRun(AttemptTable& aTable, const std::string& aIdentity,
               Outcome aOutcome);

/// Records that a run ended without a whole answer.
void FinishUnknown(AttemptTable& aTable, const std::string& aIdentity);

/// Records that nothing reached a target; it may be run later.
void FinishNotRun(AttemptTable& aTable, const std::string& aIdentity);

/// What a holder says to a peer that asks for an identity.
enum class ResolveVerdict {
  Yours = 1, ///< The asker holds it now and may run it.
  Done,      ///< It ran; the outcome is attached.
  Busy,      ///< It is running here.
  HeldBy,    ///< Another incarnation holds it.
  Unknown,   ///< It may have run.
};

struct ResolveAnswer
{
  ResolveVerdict mVerdict = ResolveVerdict::Unknown;
  Outcome mOutcome;
  Incarnation mHolder;
};

/// Answers a peer that asks for an identity.
/// @param aAsked  the incarnation that the peer believes it is asking
[[nodiscard]] ResolveAnswer Resolve(AttemptTable& aTable,
                                    const std::string& aIdentity,
                                    const Incarnation& aAsked,
                                    const Incarnation& aAsker, TimePoint aNow);

/// Takes in a peer's answer after AdmitAction::Ask.
/// @returns Run, Replay, Ask (of another), or Unknown
[[nodiscard]] AdmitDecision TakeAnswer(AttemptTable& aTable,
                                       const std::string& aIdentity,
                                       const ResolveAnswer& aAnswer);

/// Gives up asking; a later resend asks again.
void AbandonAsk(AttemptTable& aTable, const std::string& aIdentity);

/// Forgets identities past their retention; they are refused ever after.
void ForgetOld(AttemptTable& aTable, TimePoint aNow);

} // namespace guavaline
