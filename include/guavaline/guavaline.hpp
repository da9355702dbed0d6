#pragma once

/// The whole library in one header.

#include <guavaline/admission/budgets.hpp>
#include <guavaline/admission/planned_stop.hpp>
#include <guavaline/admission/queue.hpp>
#include <guavaline/admission/slots.hpp>
#include <guavaline/attempts/attempts.hpp>
#include <guavaline/configuration/check.hpp>
#include <guavaline/configuration/model.hpp>
#include <guavaline/configuration/questionnaire.hpp>
#include <guavaline/core/error.hpp>
#include <guavaline/core/hash.hpp>
#include <guavaline/core/time.hpp>
#include <guavaline/core/units.hpp>
#include <guavaline/crashes/crash_table.hpp>
#include <guavaline/lookup/lookup.hpp>
#include <guavaline/membership/membership.hpp>
#include <guavaline/metrics/metrics.hpp>
#include <guavaline/steering/drain_plan.hpp>
#include <guavaline/steering/shares.hpp>
#include <guavaline/targets/health.hpp>
