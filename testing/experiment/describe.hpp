#pragma once

/// Descriptions of the experiments' structs for the codec.

#include "codec/described.hpp"
#include "experiment/matrix.hpp"

namespace guavaline::testing {

BOOST_DESCRIBE_ENUM(Policy, OwnedAndLoans, OwnedOnly, RoundRobin, RandomTarget,
                    TwoChoices, LeastInFlight, Central)
BOOST_DESCRIBE_STRUCT(Matrix, (),
                      (mAnswers, mService, mPolicies, mBaseline, mUtilizations,
                       mSkews, mSlowTargets, mSeeds, mTime, mPeerWay))

} // namespace guavaline::testing
