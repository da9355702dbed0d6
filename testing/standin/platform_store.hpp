#pragma once

/// Stand-in for the platform's store: objects by kind and name with
/// revisions and watches, and its faults.

#include "http/server.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>

#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>

namespace guavaline::testing {

/// How the store misbehaves.
struct PlatformStoreFaults
{
  bool mBusy = false;   ///< Answers 503; nothing is done.
  bool mSilent = false; ///< Answers nothing.
  Millis mDelay{ 0 };   ///< Before each answer.
  /// Part of the writes that are done and never answered, 0 to 1.
  double mLoseWrites = 0;
};

class PlatformStore
{
public:
  PlatformStore(boost::asio::io_context& aContext, std::uint64_t aSeed);

  /// @returns an empty text, or the reason why it cannot listen
  [[nodiscard]] std::string Listen(const std::string& aAddress,
                                   std::uint16_t aPort);
  /// Ends everything.
  void Close();
  /// Writes an object as operators and targets do.
  void Put(const std::string& aKind, const std::string& aName,
           boost::json::value aSpec);
  void Remove(const std::string& aKind, const std::string& aName);
  [[nodiscard]] bool Has(const std::string& aKind,
                         const std::string& aName) const;
  void SetFaults(const PlatformStoreFaults& aFaults);
  /// Forgets what changed: watches must start anew from a listing.
  void DropHistory();
  /// Keeps a copy of everything for Restore.
  void KeepCopy();
  /// Comes back from the copy. What was written since is gone, and revisions
  /// after it are given out again.
  void Restore();

private:
  struct Object
  {
    std::uint64_t mRevision = 0;
    boost::json::value mSpec;
  };
  struct Change
  {
    std::uint64_t mRevision = 0;
    std::string mKind;
    std::string mName;
    bool mDeleted = false;
    boost::json::value mSpec;
  };
  using Objects = std::map<std::string, std::map<std::string, Object>>;
  struct Copy
  {
    std::uint64_t mRevision = 0;
    Objects mObjects;
  };
  using Reply = boost::asio::awaitable<detail::HttpResponse>;

  Reply Handle(detail::HttpRequest aRequest);
  Reply Answer(detail::HttpRequest aRequest);
  Reply Watch(std::string aKind, std::uint64_t aFrom, Millis aWait);
  detail::HttpResponse List(const std::string& aKind,
                            const std::string& aAfter) const;
  detail::HttpResponse Write(const detail::HttpRequest& aRequest,
                             const std::string& aKind,
                             const std::string& aName);
  boost::json::array EventsSince(const std::string& aKind,
                                 std::uint64_t aFrom) const;
  void Note(Change aChange);
  boost::asio::awaitable<void> Wait(Millis aTime);

  boost::asio::io_context& mContext;
  std::mt19937_64 mRandom;
  detail::HttpServer mServer;
  PlatformStoreFaults mFaults;
  std::uint64_t mRevision = 100;
  std::uint64_t mHistoryFrom = 100; ///< Changes after it are all held.
  std::uint64_t mEra = 1;           ///< Rises with each Restore.
  Objects mObjects;
  Copy mCopy;
  std::deque<Change> mHistory;
  std::set<std::shared_ptr<boost::asio::steady_timer>> mWatches;
};

} // namespace guavaline::testing
