#pragma once

/// A small deployment on loopback addresses: a store, backends and entries.
/// The store and the backends are stand-ins in this process; entries are
/// processes of the project's own program.

#include <boost/asio.hpp>
#include <boost/json.hpp>

#include <sys/types.h>

#include <chrono>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace review {

namespace asio = boost::asio;
namespace json = boost::json;
using asio::ip::tcp;
using Clock = std::chrono::steady_clock;
using Millis = std::chrono::milliseconds;
template<class T>
using Task = asio::awaitable<T>;

/// A message that was read: a request or an answer.
struct Message
{
  std::string mFirst;                         ///< First line.
  std::map<std::string, std::string> mFields; ///< By name in lower case.
  std::string mBody;
  [[nodiscard]] std::string Field(const std::string& aName) const;
};

/// Reads one message with a Content-Length, or none.
/// @returns false where the connection ended before that
Task<bool> ReadMessage(tcp::socket& aSocket, std::string& aBuffer,
                       Message& aOut);
Task<bool> Write(tcp::socket& aSocket, std::string aText);
Task<void> Sleep(Millis aTime);

/// Writes what was sent, answered and run, with the time since the start.
class Record
{
public:
  explicit Record(const std::string& aPath);
  void Note(const std::string& aText);
  [[nodiscard]] double Now() const;

private:
  std::ofstream mOut;
  Clock::time_point mStarted = Clock::now();
};

/// The platform's store: objects by kind and name, listings and watches.
class Store
{
public:
  explicit Store(asio::io_context& aContext);
  void Listen(const tcp::endpoint& aWhere);
  void Put(const std::string& aKind, const std::string& aName,
           json::value aSpec);
  void Remove(const std::string& aKind, const std::string& aName);

private:
  struct Change
  {
    std::uint64_t mRevision = 0;
    std::string mKind;
    std::string mName;
    bool mDeleted = false;
    json::value mSpec;
  };

  Task<void> Accept();
  Task<void> Serve(tcp::socket aSocket);
  Task<std::pair<int, json::value>> Answer(const Message& aRequest);
  std::pair<int, json::value> WriteObject(const std::string& aMethod,
                                          const std::string& aKind,
                                          std::string aName,
                                          const std::string& aBody,
                                          std::uint64_t aRevision);

  asio::io_context& mContext;
  tcp::acceptor mAcceptor;
  std::uint64_t mRevision = 100;
  std::map<std::string, std::map<std::string, Change>> mObjects;
  std::vector<Change> mHistory;
};

/// One request at a backend.
struct Run
{
  std::string mId;
  std::string mBackend;
  std::string mMethod;
  std::string mPath;
  bool mKnown = true; ///< It was meant for this backend.
};

/// A backend that serves one request at a time on a connection.
struct Backend
{
  std::string mId;
  std::string mService;
  tcp::endpoint mWhere;
  unsigned mSlots = 6;
  Millis mWork{ 200 };
  std::int64_t mBorn = 0;
  unsigned mRunning = 0;
  /// Answers in the backend's place. Gives true once the connection is done.
  std::function<Task<bool>(Backend&, tcp::socket&, const Message&)> mInstead;
  /// Called when a request has begun to run, and when its answer was written.
  std::function<void(const Run&)> mOnRun;
  std::function<void(const Run&)> mOnAnswered;

  [[nodiscard]] json::value Registration(const std::string& aZone,
                                         const char* aState = "ready") const;
};

void ServeBackend(asio::io_context& aContext, std::shared_ptr<Backend> a);

/// An entry's process.
class Entry
{
public:
  Entry(std::string aName, std::string aAddress, std::string aZone,
        const std::string& aStore, unsigned aMemoryMb,
        const std::string& aFolder);
  ~Entry();
  Entry(const Entry&) = delete;
  Entry& operator=(const Entry&) = delete;
  Entry(Entry&&) = delete;
  Entry& operator=(Entry&&) = delete;

  void Start();
  void Signal(int aSignal) const;
  /// @returns true where the process has ended
  bool HasEnded();
  /// @returns its private memory in megabytes
  [[nodiscard]] double MemoryMb() const;
  [[nodiscard]] tcp::endpoint Front() const;
  [[nodiscard]] tcp::endpoint Ready() const;
  [[nodiscard]] const std::string& Name() const { return mName; }

private:
  std::string mName;
  std::string mAddress;
  std::string mSettings;
  std::string mLog;
  pid_t mPid = 0;
};

/// @returns a route of a configuration
json::value RouteSpec(const std::string& aName, const std::string& aPrefix,
                      const std::string& aType, const std::string& aService,
                      const std::string& aTimeout);
json::value Configuration(const std::string& aVersion, json::array aRoutes,
                          const std::vector<std::string>& aServices);

/// Waits until an entry says that it is ready.
Task<bool> AwaitReady(const Entry& aEntry, Millis aBound);

/// @returns a loopback address that is most likely free, from a number
std::string LoopbackAddress(std::uint32_t aSeed, unsigned aHost);
/// @returns a new folder for settings and logs; it is removed by the caller
std::string MakeFolder();

} // namespace review
