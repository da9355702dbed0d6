#include "daemon/loan_support.hpp"

namespace guavaline::detail {

namespace asio = boost::asio;

ServiceState* FindState(Node& aNode, const std::string& aService)
{
  const auto it = aNode.mServices.find(aService);
  return it == aNode.mServices.end() ? nullptr : &it->second;
}

const std::string& RegionOf(const ServiceState& aState, std::uint32_t aTarget)
{
  return aState.mService.mTargets[aTarget].mRegion;
}

std::uint32_t OwnedIn(const ServiceState& aState, const std::string& aRegion)
{
  std::uint32_t n = 0;
  for (std::uint32_t k = 0; k < aState.mService.mTargets.size(); ++k) {
    n += RegionOf(aState, k) == aRegion ? aState.mSlots.mUsableOwned[k] : 0;
  }
  return n;
}

bool IsOfEarlierLife(const Node& aNode, const std::string& aLender,
                     std::uint64_t aIncarnation)
{
  const auto it = aNode.mRecalledBy.find(aLender);
  return it != aNode.mRecalledBy.end() && it->second != aIncarnation;
}

std::vector<LentSlot> ToWire(const std::vector<Loan>& aLoans)
{
  std::vector<LentSlot> out;
  for (const auto& it : aLoans) {
    out.push_back({ it.mId, it.mTarget });
  }
  return out;
}

std::optional<OfferMessage> MakeOffer(Node& aNode, ServiceState& aState,
                                      const LendQuery& aQuery)
{
  const auto loans = Lend(aState.mSlots, aState.mService, aQuery, Clock::now());
  if (loans.empty()) {
    return std::nullopt;
  }
  return OfferMessage{
    aNode.mSelf.mEntry,    aNode.mSelf.mNumber, aNode.mAccepted.mVersion,
    aState.mService.mName, aQuery.mTerm,        ToWire(loans)
  };
}

asio::awaitable<void> SendOffer(Node& aNode, std::string aPeer,
                                OfferMessage aMessage)
{
  (void)co_await CallEntry(aNode, aPeer, kOfferCall, ToJson(aMessage),
                           kLoanCallTimeout);
}

} // namespace guavaline::detail
