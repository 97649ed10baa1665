#pragma once

#include "core/placement/schedulingstrategy.h"

#include <memory>

namespace geraniumpaddle::bench {

/// First come, first fit: jobs in order of arrival, each on the first place
/// that holds it; a job that does not fit is skipped.
std::unique_ptr<const scheduling_strategy> makeFirstFit();

/// Best fit with backfill: jobs in order of arrival, each where it leaves the
/// least free; the first that does not fit gets a reservation at once, and
/// later ones go ahead only where their declared run time does not delay it.
std::unique_ptr<const scheduling_strategy> makeBestFitBackfill();

} // namespace geraniumpaddle::bench
