#pragma once

/// Finds a region and a target slot for a request, waiting where that helps.

#include "daemon/node.hpp"

namespace guavaline::detail {

/// A slot in use; gives it back when it is destroyed.
class SlotHold
{
public:
  SlotHold() = default;
  SlotHold(Node& aNode, std::string aService, std::uint32_t aTarget);
  ~SlotHold();
  SlotHold(SlotHold&& aOther) noexcept;
  SlotHold& operator=(SlotHold&& aOther) noexcept;
  SlotHold(const SlotHold&) = delete;
  SlotHold& operator=(const SlotHold&) = delete;

  /// Keeps the slot a little longer after the hold ends, because the target
  /// may not yet have seen that its work was cancelled.
  void Linger() noexcept { mLinger = true; }
  /// The exchange ended whole, so the target is free.
  void EndsNow() noexcept { mLinger = false; }

  [[nodiscard]] const Target& Held() const noexcept { return mTarget; }
  /// @returns the target's present index; nothing where it was removed
  [[nodiscard]] std::optional<std::uint32_t> Index() const;

private:
  void Release() noexcept;

  Node* mNode = nullptr;
  std::string mService;
  Target mTarget;
  bool mLinger = false;
};

/// What a request needs.
struct PlacementQuery
{
  std::string mService;
  RequestClass mClass;
  std::string mPlace;
  TimePoint mDeadline;
  std::uint64_t mBytes = 0;
  std::vector<std::uint32_t> mExcluded; ///< Targets that failed it already.
};

/// Why there is no slot.
enum class PlacementFailure {
  None = 1,
  NoTarget, ///< No target of the region can serve.
  Full,     ///< No slot became free in time.
  LinkFull, ///< The link to the region has no bytes left.
};

struct Placement
{
  SlotHold mHold;
  PlacementFailure mFailure = PlacementFailure::None;
};

/// Finds a slot for a request.
boost::asio::awaitable<Placement> Place(Node& aNode, PlacementQuery aQuery);

/// Moves the shares of every service toward where traffic should go; runs
/// until the process stops.
boost::asio::awaitable<void> MoveTraffic(Node& aNode);

} // namespace guavaline::detail
