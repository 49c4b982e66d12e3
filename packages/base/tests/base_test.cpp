#define BOOST_TEST_MODULE base
#include <boost/test/unit_test.hpp>

#include "carobhall/base.h"

using namespace Carobhall;

BOOST_AUTO_TEST_CASE(namesRoundTrip)
{
    for (const auto &row : EnumNames<Verdict>::rows) {
        BOOST_TEST((fromName<Verdict>(row.name) == row.value));
    }
    BOOST_TEST(!fromName<Verdict>("maybe"));
}

// Guards against a retry that lowers an earlier "may have run" to "not run".
BOOST_AUTO_TEST_CASE(combinedVerdictNeverClaimsLess)
{
    BOOST_TEST((combine(Verdict::MayHaveRun, Verdict::NotRun) == Verdict::MayHaveRun));
    BOOST_TEST((combine(Verdict::NotRun, Verdict::Ran) == Verdict::Ran));
}

// Guards against a caller's text that starts a second line in the log.
BOOST_AUTO_TEST_CASE(logLineStaysOnOneLine)
{
    const std::string line = formatLogLine("request_failed",
                                           { { "account", "a b" }, { "text", "x\ny\"z" }, { "status", 503 }, { "verdict", Verdict::NotRun } });
    BOOST_TEST(line == "event=request_failed account=\"a b\" text=\"x\\ny\\\"z\" status=503 verdict=not-run");
}

BOOST_AUTO_TEST_CASE(metricsInPrometheusForm)
{
    Metrics metrics;
    metrics.count("carobhall_requests_total", "rank=\"paying\"", 2);
    metrics.observe("carobhall_first_token_seconds", "", 2 * MicrosPerSecond);
    const std::string text = metrics.prometheusText();
    BOOST_TEST(text.find("carobhall_requests_total{rank=\"paying\"} 2\n") != std::string::npos);
    BOOST_TEST(text.find("carobhall_first_token_seconds_sum 2\n") != std::string::npos);
    BOOST_TEST(metrics.counter("carobhall_requests_total", "rank=\"paying\"") == 2);
}
