#include <guavaline/crashers/crashers.hpp>

namespace guavaline {
namespace {

constexpr std::uint32_t kCrashesToRefuse = 2;

CrasherTable::Record* Touch(CrasherTable& aTable, std::uint64_t aDigest,
                            TimePoint aNow)
{
  const bool known = aTable.mRecords.count(aDigest) > 0;
  if (!known && aTable.mRecords.size() >= aTable.mMaxRecords) {
    return nullptr;
  }
  auto& record = aTable.mRecords[aDigest];
  record.mForget = aNow + aTable.mMemory;
  return &record;
}

} // namespace

void NoteCrash(CrasherTable& aTable, std::uint64_t aDigest, TimePoint aStarted,
               TimePoint aNow)
{
  auto* record = Touch(aTable, aDigest, aNow);
  if (record == nullptr) {
    return;
  }
  if (record->mCrashes == 0 || aStarted >= record->mLastCrash) {
    ++record->mCrashes;
    record->mLastCrash = aNow;
  }
}

bool NoteServed(CrasherTable& aTable, std::uint64_t aDigest)
{
  return aTable.mRecords.erase(aDigest) > 0;
}

void NoteRefusedByPeer(CrasherTable& aTable, std::uint64_t aDigest,
                       TimePoint aNow)
{
  if (IsCrasher(aTable, aDigest, aNow)) {
    // Heard before: the first word sets when it is forgotten, or peers would
    // remind each other for ever.
    return;
  }
  if (auto* record = Touch(aTable, aDigest, aNow)) {
    record->mCrashes = kCrashesToRefuse;
  }
}

bool IsCrasher(const CrasherTable& aTable, std::uint64_t aDigest,
               TimePoint aNow) noexcept
{
  const auto it = aTable.mRecords.find(aDigest);
  return it != aTable.mRecords.end() &&
         it->second.mCrashes >= kCrashesToRefuse && aNow < it->second.mForget;
}

std::vector<std::uint64_t> ListCrashers(const CrasherTable& aTable,
                                        TimePoint aNow, std::size_t aMost)
{
  std::vector<std::uint64_t> out;
  for (const auto& it : aTable.mRecords) {
    if (out.size() < aMost && IsCrasher(aTable, it.first, aNow)) {
      out.push_back(it.first);
    }
  }
  return out;
}

void ForgetOldCrashes(CrasherTable& aTable, TimePoint aNow)
{
  std::erase_if(aTable.mRecords,
                [aNow](const auto& a) { return a.second.mForget <= aNow; });
}

} // namespace guavaline
