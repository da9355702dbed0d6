#pragma once

/// Finds out which requests crash targets: remembers runs that broke with
/// their targets, and tells crashed targets from those that lost an answer.

#include "entry/entry.hpp"

namespace guavaline::detail {

/// Notes a run that ended without an answer. The target is asked whether it
/// still takes connections; where it does not and others of its failure domain
/// do, it has crashed.
void NoteBrokenRun(Entry& aEntry, const TargetPtr& aTarget,
                   const BrokenRun& aRun, TimePoint aNow);

/// Notes that a target did not take a connection; where runs had no answer
/// there, it is asked once more.
void NoteFailedConnection(Entry& aEntry, const TargetPtr& aTarget);

/// Notes the lives that a new registration shows to have ended.
void NoteNewLife(Entry& aEntry, const Registration& aRegistration,
                 TimePoint aNow);

/// Notes a run that ended well.
/// @returns true where its request had been suspect
bool NoteGoodRun(Entry& aEntry, std::uint64_t aDigest, TimePoint aNow);

/// Drops broken runs that nothing showed to be crashes.
void ForgetBrokenRuns(Entry& aEntry, TimePoint aNow);

/// Tells others of what this entry has seen since the last call.
void TellCrashes(Entry& aEntry);

} // namespace guavaline::detail
