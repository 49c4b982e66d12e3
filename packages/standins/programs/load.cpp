// carobhall-load: sends reproducible load (from a seed) to entry processes, checks every answer and prints a JSON report.

#include "../src/json_text.h"
#include "../src/load_run.h"

#include <boost/program_options.hpp>

#include <iostream>

namespace
{

namespace Po = boost::program_options;
using namespace Carobhall;
using namespace Carobhall::Standin;

constexpr int UsageExitCode = 2;
/// Limits on the load, because the tool runs on the same machine as the processes that it measures.
constexpr double MaxSeconds = 300.0;
constexpr double MaxPerSecond = 2000.0;
constexpr std::size_t MaxStreams = 2000;

/// The value of an option that is stored in \p field and defaults to the field's current value.
template<typename Value>
auto stored(Value &field)
{
    return Po::value<Value>(&field)->default_value(field);
}

Micros toMicros(double seconds)
{
    return static_cast<Micros>(seconds * MicrosPerSecond);
}

int run(int argc, char **argv)
{
    PlanOptions plan;
    DirectOptions direct;
    std::vector<std::string> urls;
    double seconds = 20.0;
    double shiftSeconds = 5.0;
    Po::options_description options("Options of carobhall-load");
    auto add = options.add_options();
    add("help", "print this text");
    add("url", Po::value(&urls)->multitoken(), "entry processes, as http://ip:port; requests are sent to them in round-robin order");
    add("seconds", stored(seconds), "duration of the load; with --direct, duration of each throughput measurement");
    add("seed", stored(plan.seed), "random seed of arrivals, accounts and dossiers");
    add("verdicts", stored(plan.verdictsPerSecond), "verdicts per second");
    add("chats", stored(plan.chatsPerSecond), "chats per second");
    add("surge", stored(plan.surgePerSecond), "additional chats of free accounts per second in the second third of the duration");
    add("large-share", stored(plan.largeShare), "share of the verdicts sent by the two large accounts");
    add("dossiers", stored(plan.dossiers), "number of dossiers per account");
    add("dossiers-per-group", stored(plan.dossiersPerGroup), "number of dossiers that share a group prefix");
    add("dossier-bytes", stored(plan.dossierBytes), "length of a verdict's dossier in bytes");
    add("zipf", stored(plan.zipfExponent), "exponent of the Zipf distribution over dossiers");
    add("shift-seconds", stored(shiftSeconds), "time between changes of the most used dossiers; 0: never");
    add("verdict-tokens", stored(plan.verdictTokens), "tokens per verdict");
    add("chat-tokens", stored(plan.chatTokens), "tokens per chat answer");
    add("direct", Po::value(&direct.engineUrl), "compare the first --url with direct calls of the engine at this URL, in a closed loop");
    add("entry-pid", stored(direct.entryPid), "process ID of the first --url; its CPU time and memory are measured; 0: not measured");
    add("requests", stored(direct.requests), "requests per target of the latency comparison");
    add("concurrency", stored(direct.concurrency), "requests in flight during a throughput measurement");
    add("streams", stored(direct.streams), "streams opened for the memory measurement; 0: not measured");
    add("stream-tokens", stored(direct.streamTokens), "tokens per stream of the memory measurement");
    Po::variables_map values;
    Po::store(Po::parse_command_line(argc, argv, options), values);
    if (values.contains("help")) {
        std::cout << options;
        return 0;
    }
    Po::notify(values);
    const double perSecond = plan.verdictsPerSecond + plan.chatsPerSecond + plan.surgePerSecond;
    if (urls.empty() || seconds < 0.0 || seconds > MaxSeconds || perSecond > MaxPerSecond || direct.streams > MaxStreams || plan.dossiers == 0) {
        std::cerr << "carobhall-load: expected a --url, at most " << MaxSeconds << " seconds, " << MaxPerSecond << " requests per second and " << MaxStreams
                  << " streams, and at least one dossier\n";
        return UsageExitCode;
    }
    plan.duration = toMicros(seconds);
    plan.shiftEvery = toMicros(shiftSeconds);
    direct.duration = toMicros(seconds);
    direct.entryUrl = urls.front();
    std::cout << writeJsonText(direct.engineUrl.empty() ? runOpenLoop(plan, urls) : runDirect(direct)) << "\n";
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    try {
        return run(argc, argv);
    } catch (const Po::error &error) {
        std::cerr << "carobhall-load: " << error.what() << "\n";
        return UsageExitCode;
    }
}
