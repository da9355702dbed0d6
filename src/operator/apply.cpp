#include "operator/apply.hpp"

#include "codec/yaml.hpp"
#include "daemon/status_wire.hpp"
#include "platform/store_client.hpp"

#include <guavaline/configuration/check.hpp>
#include <guavaline/configuration/questionnaire.hpp>

#include <thread>

namespace guavaline::detail {
namespace {

constexpr int kReadBackTries = 5;
constexpr Millis kReadBackPause{ 500 };

leaf::error_id StoreFailure(const StoreResult& aResult, const Endpoint& aStore)
{
  auto error = aResult.mError;
  if (error.mPeer.empty()) {
    error.mPeer = aStore.Text();
  }
  return leaf::new_error(std::move(error));
}

leaf::result<ApplyResult> Settle(const OperatorTarget& aTarget,
                                 const AcceptedConfiguration& aBase,
                                 const Configuration& aNew)
{
  // The answer was lost: the store tells whether the write took effect.
  for (int n = 0; n < kReadBackTries; ++n) {
    const auto present =
      GetObjectNow(aTarget.mStore, kConfigurationKey, aTarget.mTimeout);
    if (present.mStatus == StoreStatus::Ok ||
        present.mStatus == StoreStatus::NotFound) {
      BOOST_LEAF_AUTO(accepted, ReadAccepted(aTarget));
      if (accepted.mConfiguration.mChangeId == aNew.mChangeId) {
        return ApplyResult{ accepted.mVersion, false };
      }
      if (accepted.mVersion != aBase.mVersion) {
        return leaf::new_error(ApplyConflict{
          Differences(aBase.mConfiguration, accepted.mConfiguration),
          Differences(aBase.mConfiguration, aNew) });
      }
      return leaf::new_error(Error{ "apply", aTarget.mStore.Text(),
                                    "the write did not take effect" });
    }
    std::this_thread::sleep_for(kReadBackPause);
  }
  return leaf::new_error(
    Error{ "apply", aTarget.mStore.Text(),
           "outcome unknown: the store does not answer; run the same "
           "command again later, which does nothing if it took effect" });
}

HttpRequest PushRequest(const OperatorTarget& aTarget,
                        const AcceptedConfiguration& aAccepted)
{
  HttpRequest out;
  out.mMethod = "POST";
  out.mTarget = "/v1/configuration";
  out.mHeaders = { { "Authorization", "Bearer " + aTarget.mKey } };
  const PushedConfiguration pushed{ aAccepted.mVersion,
                                    ToStored(aAccepted.mConfiguration) };
  out.mBody = ToJson(pushed);
  return out;
}

} // namespace

leaf::result<AcceptedConfiguration> ReadAccepted(const OperatorTarget& aTarget)
{
  const auto result =
    GetObjectNow(aTarget.mStore, kConfigurationKey, aTarget.mTimeout);
  if (result.mStatus == StoreStatus::NotFound) {
    return AcceptedConfiguration{};
  }
  if (result.mStatus != StoreStatus::Ok || result.mObjects.empty()) {
    return StoreFailure(result, aTarget.mStore);
  }
  AcceptedConfiguration out;
  out.mVersion = result.mObjects.front().mVersion;
  auto problems =
    FromStored(result.mObjects.front().mValue, out.mConfiguration);
  if (!problems.empty()) {
    return leaf::new_error(BadInput{ std::move(problems) });
  }
  return out;
}

leaf::result<Configuration> LoadConfiguration(const std::string& aPath)
{
  Problems problems;
  Configuration out;
  if (const auto text = ReadFile(aPath, problems)) {
    problems = ReadConfiguration(aPath, *text, out);
    if (problems.empty()) {
      Problems unused;
      problems = Check(out);
      LocateProblems(aPath, ParseYaml(*text, unused), problems);
    }
  }
  if (!problems.empty()) {
    return leaf::new_error(BadInput{ std::move(problems) });
  }
  return out;
}

leaf::result<ApplyResult> Apply(const OperatorTarget& aTarget,
                                const AcceptedConfiguration& aBase,
                                const Configuration& aNew)
{
  if (aBase.mVersion > 0 && aBase.mConfiguration.mChangeId == aNew.mChangeId) {
    return ApplyResult{ aBase.mVersion, true };
  }
  const auto result =
    PutObjectNow(aTarget.mStore, kConfigurationKey, aBase.mVersion,
                 ToStored(aNew), aTarget.mTimeout);
  switch (result.mStatus) {
    case StoreStatus::Ok:
      return ApplyResult{ result.mVersion, false };
    case StoreStatus::Conflict:
    case StoreStatus::UnknownOutcome:
      return Settle(aTarget, aBase, aNew);
    case StoreStatus::NotFound:
    case StoreStatus::Unavailable:
      break;
  }
  return StoreFailure(result, aTarget.mStore);
}

ForceCount PushToEntries(const OperatorTarget& aTarget,
                         const AcceptedConfiguration& aAccepted)
{
  ForceCount out;
  for (const auto& it : aAccepted.mConfiguration.mEntries) {
    ++out.mEntries;
    const auto result =
      ExchangeNow({ it.mAddress, it.mPort }, PushRequest(aTarget, aAccepted),
                  aTarget.mTimeout);
    PushAnswer answer;
    const bool understood =
      result.mResponse && FromJson(result.mResponse->mBody, answer).empty();
    if (understood && answer.mVersion >= aAccepted.mVersion) {
      ++out.mInForce;
    } else {
      out.mMissing.push_back(it.mName);
    }
  }
  return out;
}

} // namespace guavaline::detail
