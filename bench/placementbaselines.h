#pragma once

#include "core/placement/schedulingstrategy.h"

#include <memory>

namespace geraniumpaddle::bench {

/// First come, first served with first fit: jobs in order of arrival, each on
/// the first place where it fits; a job that does not fit is skipped.
std::unique_ptr<const scheduling_strategy> makeFirstFit();

/// Best fit with backfill: jobs in order of arrival, each where the least
/// capacity stays free; the first that does not fit gets a reservation at once,
/// and later ones are backfilled only where their declared run time does not
/// delay it.
std::unique_ptr<const scheduling_strategy> makeBestFitBackfill();

} // namespace geraniumpaddle::bench
