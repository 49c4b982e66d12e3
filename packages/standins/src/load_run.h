#pragma once

// The two modes of the load tool. Each runs the thread-default GMainContext until it is done and returns a JSON report.

#include "load_client.h"
#include "load_plan.h"

#include <json/json.h>

namespace Carobhall::Standin
{

/// Open loop: sends the requests planned from \p options to \p urls in round-robin order, each at its planned time whether or not
/// earlier requests were answered. First-token times are measured from the planned arrival.
[[nodiscard]] Json::Value runOpenLoop(const PlanOptions &options, const std::vector<std::string> &urls);

struct DirectOptions {
    std::string entryUrl;
    std::string engineUrl;                 ///< Engine that is called directly, without the entry process.
    int entryPid = 0;                      ///< Entry process whose CPU time and memory are read from /proc; 0: not read.
    std::size_t requests = 1000;           ///< Requests per target of the latency comparison, sent one at a time, alternating between the targets.
    Micros duration = 5 * MicrosPerSecond; ///< Duration of each throughput measurement.
    std::size_t concurrency = 32;          ///< Requests in flight during a throughput measurement.
    std::size_t streams = 0;               ///< Streams opened for the memory measurement; 0: not measured.
    std::uint64_t streamTokens = 64;
};

/// Closed loop: compares requests through the entry process with direct calls of one engine.
[[nodiscard]] Json::Value runDirect(const DirectOptions &options);

/// The \p quantile of \p values (0 to 1) by nearest rank; 0 when \p values is empty.
[[nodiscard]] Micros quantileOf(std::vector<Micros> values, double quantile);

} // namespace Carobhall::Standin
