#pragma once

/// Stand-in for the platform's object API and its list of hosts.

#include "http/server.hpp"
#include "platform/store_wire.hpp"

#include <boost/asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <set>

namespace guavaline::testing {

/// Faults that can be switched on.
struct StoreFaults
{
  bool mOut = false;              ///< Answers nothing but 503.
  Millis mDelay{ 0 };             ///< Before each answer.
  std::uint32_t mLoseAnswers = 0; ///< Next writes take effect unanswered.
};

class StoreStandin
{
public:
  explicit StoreStandin(boost::asio::io_context& aContext);

  [[nodiscard]] std::string Listen(const std::string& aAddress,
                                   std::uint16_t aPort);
  void SetFaults(const StoreFaults& aFaults);
  /// Sets what the list of hosts says, after its lag.
  void SetHost(const std::string& aName, const std::string& aState);
  [[nodiscard]] std::uint64_t Calls() const noexcept { return mCalls; }
  /// Called at each accepted write with the key and version.
  std::function<void(const std::string&, std::uint64_t)> mOnWrite;

private:
  boost::asio::awaitable<detail::HttpResponse> Handle(
    detail::HttpRequest aRequest);
  boost::asio::awaitable<detail::HttpResponse> Watch(
    detail::HttpRequest aRequest);
  detail::HttpResponse Write(const detail::HttpRequest& aRequest);
  detail::HttpResponse Remove(const detail::HttpRequest& aRequest);
  detail::HttpResponse Admin(const detail::HttpRequest& aRequest);
  std::vector<detail::WireObject> Above(const std::string& aPrefix,
                                        std::uint64_t aFrom) const;
  void Notify();

  boost::asio::io_context& mContext;
  detail::HttpServer mServer;
  std::map<std::string, detail::WireObject> mObjects;
  std::map<std::string, std::string> mHosts;
  std::uint64_t mVersion = 0;
  std::uint64_t mCalls = 0;
  StoreFaults mFaults;
  std::set<std::shared_ptr<boost::asio::steady_timer>> mWatches;
};

} // namespace guavaline::testing
