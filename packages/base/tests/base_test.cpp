#define BOOST_TEST_MODULE base
#include <boost/test/unit_test.hpp>

#include "carobhall/base.h"

using namespace Carobhall;

// Guards against a name table in which two values share a name, and checks that an unknown name has no value.
BOOST_AUTO_TEST_CASE(namesRoundTrip)
{
    for (const auto &row : EnumNames<Verdict>::rows) {
        BOOST_TEST((fromName<Verdict>(row.name) == row.value));
    }
    BOOST_TEST(!fromName<Verdict>("maybe"));
}

// Guards against a false not-run verdict: a later attempt that was not run must not replace the may-have-run of an earlier
// attempt.
BOOST_AUTO_TEST_CASE(combinedVerdictIsNeverWeaker)
{
    BOOST_TEST((combine(Verdict::MayHaveRun, Verdict::NotRun) == Verdict::MayHaveRun));
    BOOST_TEST((combine(Verdict::NotRun, Verdict::Ran) == Verdict::Ran));
}

// Guards against log injection: a line break in text from a caller must not start a new log line.
BOOST_AUTO_TEST_CASE(logLineStaysOnOneLine)
{
    const std::string line = formatLogLine("request_failed",
                                           { { "account", "a b" }, { "text", "x\ny\"z" }, { "status", 503 }, { "verdict", Verdict::NotRun } });
    BOOST_TEST(line == "event=request_failed account=\"a b\" text=\"x\\ny\\\"z\" status=503 verdict=not-run");
}

// Guards against metrics that Prometheus cannot parse, and against latencies in microseconds instead of seconds.
BOOST_AUTO_TEST_CASE(metricsInPrometheusFormat)
{
    Metrics metrics;
    metrics.count("carobhall_requests_total", "rank=\"paying\"", 2);
    metrics.observe("carobhall_first_token_seconds", "", 2 * MicrosPerSecond);
    const std::string text = metrics.prometheusText();
    BOOST_TEST(text.find("carobhall_requests_total{rank=\"paying\"} 2\n") != std::string::npos);
    BOOST_TEST(text.find("carobhall_first_token_seconds_sum 2\n") != std::string::npos);
    BOOST_TEST(metrics.counter("carobhall_requests_total", "rank=\"paying\"") == 2);
}
