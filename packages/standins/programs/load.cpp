// carobhall-load: sends seeded load to entry processes, checks every answer and prints a report in JSON.

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
/// The tool shares its machine with what it measures.
constexpr double MaxSeconds = 300.0;
constexpr double MaxPerSecond = 2000.0;
constexpr std::size_t MaxStreams = 2000;

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
    add("url", Po::value(&urls)->multitoken(), "entry processes, as http://ip:port; requests go to them in turn");
    add("seconds", stored(seconds), "time in which requests are sent; with --direct, of each measurement of the rate");
    add("seed", stored(plan.seed), "of arrivals, accounts and dossiers");
    add("verdicts", stored(plan.verdictsPerSecond), "verdicts per second");
    add("chats", stored(plan.chatsPerSecond), "chats per second");
    add("surge", stored(plan.surgePerSecond), "further free chats per second in the second third of the time");
    add("large-share", stored(plan.largeShare), "share of the verdicts that the two large accounts send");
    add("dossiers", stored(plan.dossiers), "dossiers of each account");
    add("dossiers-per-group", stored(plan.dossiersPerGroup), "dossiers that share a level of prefix");
    add("dossier-bytes", stored(plan.dossierBytes), "shared prefix of a verdict");
    add("zipf", stored(plan.zipfExponent), "exponent of the skew over dossiers");
    add("shift-seconds", stored(shiftSeconds), "time between changes of the hot dossiers; 0: none");
    add("verdict-tokens", stored(plan.verdictTokens), "tokens of a verdict");
    add("chat-tokens", stored(plan.chatTokens), "tokens of a chat's answer");
    add("direct", Po::value(&direct.engineUrl), "compare the first --url with calls of this engine, in a closed loop");
    add("entry-pid", stored(direct.entryPid), "process of the first --url, whose CPU time and memory are read");
    add("requests", stored(direct.requests), "requests of the latency comparison");
    add("concurrency", stored(direct.concurrency), "requests at once when the rate is measured");
    add("streams", stored(direct.streams), "streams open at once when memory is read; 0: not measured");
    add("stream-tokens", stored(direct.streamTokens), "tokens of such a stream");
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
