#pragma once

/// JSON bodies of the store's HTTP interface.

#include "codec/described.hpp"

namespace guavaline::detail {

struct WireObject
{
  std::string mKey;
  std::uint64_t mVersion = 0;
  std::string mValue;
};

struct WireAnswer
{
  std::optional<std::uint64_t> mVersion;
  std::vector<WireObject> mObjects;
};

BOOST_DESCRIBE_STRUCT(WireObject, (), (mKey, mVersion, mValue))
BOOST_DESCRIBE_STRUCT(WireAnswer, (), (mVersion, mObjects))

} // namespace guavaline::detail
