#pragma once

// The two modes of the load tool. Both run the thread-default GMainContext until they are done and return a report in JSON.

#include "load_client.h"
#include "load_plan.h"

#include <json/json.h>

namespace Carobhall::Standin
{

/// Sends \p options' plan to \p urls in turn, each request at its time whether or not earlier ones were answered. Times count from
/// the planned arrival.
[[nodiscard]] Json::Value runOpenLoop(const PlanOptions &options, const std::vector<std::string> &urls);

struct DirectOptions {
    std::string entryUrl;
    std::string engineUrl;                 ///< Called without the entry process in between.
    int entryPid = 0;                      ///< Its CPU time and memory are read from /proc; 0: not read.
    std::size_t requests = 1000;           ///< Of each kind, one after the other, the two kinds alternating.
    Micros duration = 5 * MicrosPerSecond; ///< Of each measurement of requests per second.
    std::size_t concurrency = 32;          ///< Requests at once in it.
    std::size_t streams = 0;               ///< Streams open at once while memory is read; 0: not measured.
    std::uint64_t streamTokens = 64;
};

/// Compares the entry path with direct calls of one engine, in a closed loop.
[[nodiscard]] Json::Value runDirect(const DirectOptions &options);

/// The value that a share \p quantile of \p values does not exceed; 0 without values.
[[nodiscard]] Micros quantileOf(std::vector<Micros> values, double quantile);

} // namespace Carobhall::Standin
