#pragma once

/// Client of the platform's object API. The wire form is kept in one source
/// file, so that another API needs another source file only.

#include "http/client.hpp"

namespace guavaline::detail {

/// How a call to the store ended.
enum class StoreStatus {
  Ok = 1,
  Conflict, ///< The object has another version.
  NotFound,
  Unavailable,    ///< The call had no effect.
  UnknownOutcome, ///< The call may or may not have taken effect.
};

/// A stored object.
struct StoreObject
{
  std::string mKey;
  std::uint64_t mVersion = 0;
  std::string mValue;
};

/// The answer to a store call.
struct StoreResult
{
  StoreStatus mStatus = StoreStatus::Unavailable;
  std::vector<StoreObject> mObjects; ///< For Ok: what was read or written.
  std::uint64_t mVersion = 0;        ///< Version of the store or the object.
  Error mError;                      ///< Set where the status is not Ok.
};

/// Reaches one store.
struct StoreClient
{
  HttpClient& mHttp;
  Endpoint mEndpoint;
  Millis mTimeout{ 2'000 };
};

/// Reads one object.
[[nodiscard]] boost::asio::awaitable<StoreResult> GetObject(
  const StoreClient& aStore, std::string aKey);

/// Waits for objects under a prefix that are newer than a version.
/// @param aFrom  the version held; objects above it are returned
/// @param aWait  how long the store may hold the call
[[nodiscard]] boost::asio::awaitable<StoreResult> WatchObjects(
  const StoreClient& aStore, std::string aPrefix, std::uint64_t aFrom,
  Millis aWait);

/// Reads the platform's list of hosts: one object a host, whose key is its
/// name and whose value is "live" or "leaving".
[[nodiscard]] boost::asio::awaitable<StoreResult> ListHosts(
  const StoreClient& aStore);

/// Reads one object from synchronous code.
[[nodiscard]] StoreResult GetObjectNow(const Endpoint& aStore,
                                       const std::string& aKey,
                                       Millis aTimeout);

/// Writes an object if it has a version; 0 creates it.
[[nodiscard]] StoreResult PutObjectNow(const Endpoint& aStore,
                                       const std::string& aKey,
                                       std::uint64_t aIfVersion,
                                       const std::string& aValue,
                                       Millis aTimeout);

/// Key of the configuration.
inline constexpr const char* kConfigurationKey = "guavaline/configuration";

} // namespace guavaline::detail
